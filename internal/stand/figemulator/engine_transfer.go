package figemulator

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// errResultGone is returned for a prefill result that has expired or is unknown.
var errResultGone = errors.New("the prefill result has expired or is unknown")

// pullRequest is the body of POST /kv/pull to a prefill engine.
type pullRequest struct {
	ID     string  `json:"id"`
	Blocks []int64 `json:"blocks"`
}

// pull transfers a prefill result from the engine in p to this engine.
func (e *Engine) pull(ctx context.Context, id string, p *transferParams) error {
	body, err := json.Marshal(pullRequest{ID: id, Blocks: p.RemoteBlockIDs})
	if err != nil {
		return err
	}
	address := net.JoinHostPort(p.RemoteHost, strconv.Itoa(p.RemotePort))
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/kv/pull", bytes.NewReader(body))
	if err != nil {
		return err
	}
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return err
	}
	defer func() { _ = r.Body.Close() }()
	if r.StatusCode != http.StatusOK {
		return errResultGone
	}
	return nil
}

// servePull emulates the transfer of a result over the engine's link, then drops the result.
func (e *Engine) servePull(w http.ResponseWriter, r *http.Request) {
	var q pullRequest
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		writeError(w, http.StatusBadRequest, "badBody", err.Error())
		return
	}
	s, share, ok := e.beginPull(q)
	if !ok {
		writeError(w, http.StatusNotFound, "resultGone", errResultGone.Error())
		return
	}
	size := float64(s.tokens) * float64(e.opts.TokenBytes)
	d := time.Duration(size / e.opts.LinkRate * float64(share) * float64(time.Second))
	if _, ok := e.Faults.consume(StallTransfer); ok {
		<-r.Context().Done()
	}
	err := e.timer.Sleep(r.Context(), d)
	e.endPull(q.ID, s)
	if err == nil {
		writeJSON(w, http.StatusOK, struct{}{})
	}
}

// beginPull marks a result as being transferred and returns the number of
// transfers that share the link. It returns false if q doesn't match a stored result.
func (e *Engine) beginPull(q pullRequest) (*result, int, bool) {
	e.active.Lock()
	defer e.active.Unlock()
	s, ok := e.results[q.ID]
	if !ok || s.transferring || len(q.Blocks) != 1 || q.Blocks[0] != s.block {
		return nil, 0, false
	}
	s.transferring = true
	s.expiry.Stop()
	e.activePulls++
	return s, e.activePulls, true
}

func (e *Engine) endPull(id string, s *result) {
	e.active.Lock()
	defer e.active.Unlock()
	e.activePulls--
	s.transferring = false
	if e.results[id] == s {
		e.dropResult(id)
	}
}

// serveExport returns the transfer parameters of a stored result.
func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	var q struct {
		ID string `json:"id"`
	}
	_ = json.NewDecoder(r.Body).Decode(&q)
	e.active.Lock()
	s, ok := e.results[q.ID]
	e.active.Unlock()
	if !ok {
		writeError(w, http.StatusNotFound, "resultGone", errResultGone.Error())
		return
	}
	params := e.params(s.block)
	writeJSON(w, http.StatusOK, map[string]transferParams{"kvTransferParams": params})
}

// serveImport pulls a result from another engine and stores it here.
func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	var q struct {
		ID     string         `json:"id"`
		Tokens int            `json:"tokens"`
		Params transferParams `json:"kvTransferParams"`
	}
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil || len(q.Params.RemoteBlockIDs) != 1 {
		writeError(w, http.StatusBadRequest, "badBody", "no transfer parameters")
		return
	}
	tokens := max(q.Tokens, 1)
	pieces := e.pieces(tokens)
	if !e.reserve(q.ID, pieces) {
		writeError(w, http.StatusTooManyRequests, "busy", "not enough free engine memory")
		return
	}
	if err := e.pull(r.Context(), q.ID, &q.Params); err != nil {
		e.release(q.ID, pieces)
		writeError(w, http.StatusConflict, "resultGone", err.Error())
		return
	}
	params := e.storeBlock(q.ID, q.Params.RemoteBlockIDs[0], pieces, tokens)
	writeJSON(w, http.StatusOK, map[string]transferParams{"kvTransferParams": params})
}
