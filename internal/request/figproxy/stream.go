package figproxy

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"figtrail.dev/figtrail/internal/config/figcatalogue"
	"figtrail.dev/figtrail/internal/config/figroute"
	"figtrail.dev/figtrail/internal/core/figerror"
	"figtrail.dev/figtrail/internal/fleet/figview"
	"figtrail.dev/figtrail/internal/place/figbalancer"
	"figtrail.dev/figtrail/internal/request/figlifecycle"
	"figtrail.dev/figtrail/internal/request/figsend"
)

const (
	// firstEventTargets is how long a stream that may be resumed waits for its first
	// event before another server is tried, in targets; see tryTargets.
	firstEventTargets = 2
	// stallLimit is the pause after which a stream that may be resumed goes on at
	// another server. Callers give up after 2 s at the least.
	stallLimit = time.Second
	// prefillLimit bounds a prefill apart; after it a decode server computes the
	// prompt itself. The longest prompts of the sites take 200 ms on a free server.
	prefillLimit = 600 * time.Millisecond
)

var errOrder = errors.New("the events don't continue those that the caller has")

// opened is a stream whose first event has come.
type opened struct {
	*attempt
	*figsend.Stream

	word  Word
	first []byte
	id    []byte
}

// stream serves a model request.
func (x *run) stream() *Reply {
	x.Retries.Request(x.Clock.Now(), x.pool)
	for {
		o, s, err := x.open(x.After, false)
		switch {
		case err == nil && o.Answer != nil:
			if reply := x.wholeAnswer(o, s); reply != nil {
				return reply
			}
		case err == nil:
			return x.relay(o)
		case s == nil:
			return x.refuse(x.noServer(err))
		case !x.again(s, err):
			return x.refuse(x.failed(err))
		}
	}
}

// wholeAnswer relays an answer that is no stream, or returns nil to try again.
func (x *run) wholeAnswer(o *opened, s *figcatalogue.Server) *Reply {
	answer := o.Answer
	if answer.Status >= http.StatusInternalServerError && x.route.Kind == figroute.ResumableStream {
		x.noteRan(s)
		x.last = answer
		if x.again(s, &figsend.Failure{Kind: figsend.KindStatus}) {
			return nil
		}
	}
	return x.answer(answer)
}

// open chooses servers and starts the stream after the event called after. It
// returns when the first event has come. The server is nil if none could be chosen.
func (x *run) open(after string, resume bool) (*opened, *figcatalogue.Server, error) {
	s, err := x.room(resume)
	if err != nil {
		return nil, nil, err
	}
	defer x.unreserve()
	mark := Mark{After: after}
	var p *figcatalogue.Server
	if !resume {
		if err := x.reach(s); err != nil {
			return nil, s, err
		}
		mark.Result, p = x.prefill(s)
	}
	if mark.Result != nil {
		// The prefill took its time; the server may have been dropped meanwhile.
		if x.view = x.View(); !x.stillThere(s) {
			return nil, s, &figsend.Failure{Ran: figsend.NotRun, Kind: figsend.KindBusy, Err: figerror.New("place", s.Name, "the server is leaving")}
		}
	}
	o, err := x.start(s, mark, resume)
	if mark.Result != nil && figsend.KindOf(err) == figsend.KindRefused && !x.wordOf(nil, err).Moved && x.ctx.Err() == nil && x.Retries.Take(x.Clock.Now(), x.pool) {
		o, err = x.withoutResult(s, p, mark)
	}
	return o, s, err
}

// withoutResult asks s once more, to compute the prompt itself: it refused either
// for want of room or because the result of p was gone, and doesn't say which. If it
// takes the request now, it was the result.
func (x *run) withoutResult(s, p *figcatalogue.Server, mark Mark) (*opened, error) {
	mark.Result = nil
	o, err := x.start(s, mark, false)
	if err == nil {
		klog.InfoS("prefill result was gone", "requestId", x.ID, "server", s.Name, "prefill", p.Name)
		x.Picker.Begin(x.Clock.Now(), x.view, p, 0).End(x.Clock.Now(), figbalancer.Result{Failed: true})
	}
	return o, err
}

func (x *run) stillThere(s *figcatalogue.Server) bool {
	n, ok := x.view.Find(s.Pool, s.Lifetime())
	return ok && (x.view.Usable(n) || x.view.LastResort(n, x.Clock.Now()))
}

// start sends the request to s and waits for the first event.
func (x *run) start(s *figcatalogue.Server, mark Mark, resume bool) (*opened, error) {
	a, err := x.begin(s, x.PromptTokens+x.produced(), true, resume)
	x.unreserve()
	if err != nil {
		return nil, err
	}
	o := &opened{attempt: a}
	// The context outlives the first event; only the timer is for that.
	ctx, cancel := context.WithCancelCause(x.ctx)
	x.release = append(x.release, func() { cancel(nil) })
	if limit := x.firstLimit(); limit > 0 {
		defer x.Timer.After(limit, func() { cancel(errTryLimit) })()
	}
	t, err := x.Sender.Stream(ctx, x.request(s, mark))
	if err != nil {
		err = x.tryError(ctx, err)
		x.settle(a, x.wordOf(nil, err), err)
		return nil, err
	}
	o.Stream = t
	o.word = x.Dialect.Word(t.Status, getter(t.Header))
	if o.word.Loaded {
		a.use.Loaded(x.Clock.Now(), o.word.Running, o.word.Waiting)
	}
	if t.Answer != nil {
		err = x.checkWhole(o)
		x.settle(a, o.word, err)
		return o, err
	}
	if !o.word.Genuine || t.Status != http.StatusOK {
		err = &figsend.Failure{Kind: figsend.KindOther, Err: figerror.Wrap(errForeign, "stream", s.Name)}
	} else {
		err = x.tryError(ctx, x.firstEvent(ctx, o))
	}
	if err != nil {
		t.Close()
		x.settle(a, o.word, err)
		return nil, err
	}
	return o, nil
}

// checkWhole accepts an answer that is no stream only if it is the server's own
// failure: a success must be a stream.
func (x *run) checkWhole(o *opened) error {
	if o.word.Genuine {
		return nil
	}
	return &figsend.Failure{Kind: figsend.KindOther, Err: figerror.Wrap(errForeign, "answer", o.server.Name)}
}

func getter(header []figsend.Header) Fields {
	a := figsend.Answer{Header: header}
	return a.Get
}

// firstLimit bounds the wait for the first event; 0 means that only the request's own
// limit does.
func (x *run) firstLimit() time.Duration {
	if x.route.Kind != figroute.ResumableStream || len(x.ran)+1 >= x.route.Servers {
		return 0
	}
	return firstEventTargets * x.route.Target
}

// firstEvent waits for the first event.
func (x *run) firstEvent(ctx context.Context, o *opened) error {
	e, err := o.Next(ctx, x.until.Sub(x.Clock.Now()))
	if errors.Is(err, io.EOF) {
		return &figsend.Failure{Kind: figsend.KindCut, Err: figerror.New("stream", o.server.Name, "the stream has no event")}
	}
	if err != nil {
		return err
	}
	o.first = bytes.Clone(e.Raw)
	o.id = bytes.Clone(e.ID)
	return nil
}

// prefill has a prefill server near s compute the prompt, if s is better spared
// that, and returns the result and that server. It returns nil if s is to compute it
// itself, also after a failure.
func (x *run) prefill(s *figcatalogue.Server) (*PrefillResult, *figcatalogue.Server) {
	now := x.Clock.Now()
	if s.Role != figview.Decode || x.PromptTokens == 0 || x.prefills > 0 || x.Isolated(now) && !x.Picker.Reported(now, s) {
		return nil, nil
	}
	p, err := x.place(s.DataCentre, x.PromptTokens, figview.Prefill)
	if err != nil {
		klog.InfoS("no prefill apart", "requestId", x.ID, "reason", err)
		return nil, nil
	}
	decode, prefill := x.Picker.HeldAt(now, s), x.Picker.HeldAt(now, p)
	if !figbalancer.Apart(x.view.Table.Pool(x.pool).Engine, x.PromptTokens, decode, prefill) {
		return nil, nil
	}
	x.prefills++
	a, err := x.begin(p, x.PromptTokens, false, false)
	if err != nil {
		return nil, nil
	}
	ctx, cancel := x.limited(prefillLimit)
	defer cancel()
	answer, err := x.Sender.Do(ctx, x.request(p, Mark{Stage: PrefillOnly}))
	err = x.tryError(ctx, err)
	word := x.wordOf(answer, err)
	var result *PrefillResult
	if err == nil {
		result, err = x.readResult(p, answer)
	}
	x.settle(a, word, err)
	switch {
	case err == nil:
		x.prefilled += x.PromptTokens
	case figsend.RanOf(err) != figsend.NotRun || figsend.KindOf(err) == figsend.KindRefused:
		// It arrived there and counts like any other send beyond the first.
		x.Retries.Spend(x.Clock.Now(), x.pool)
	}
	return result, p
}

// reach makes sure that s can be connected to before a prefill server works for it.
func (x *run) reach(s *figcatalogue.Server) error {
	err := x.Sender.Reach(x.ctx, s.Server)
	if err == nil {
		return nil
	}
	now := x.Clock.Now()
	x.Picker.Begin(now, x.view, s, 0).End(now, figbalancer.Result{Unreachable: x.ctx.Err() == nil})
	klog.InfoS("server not reached", "requestId", x.ID, "server", s.Name, "err", err)
	return err
}

func (x *run) readResult(p *figcatalogue.Server, answer *figsend.Answer) (*PrefillResult, error) {
	if answer.Status != http.StatusOK {
		return nil, &figsend.Failure{Kind: figsend.KindStatus, Err: figerror.Newf("prefill", p.Name, "status %d", answer.Status)}
	}
	r, err := x.Dialect.PrefillResult(p.Address, answer.Body)
	if err != nil {
		return nil, &figsend.Failure{Kind: figsend.KindOther, Err: figerror.Wrap(err, "prefill", p.Name)}
	}
	return r, nil
}

// relay begins the answer with the first event.
func (x *run) relay(o *opened) *Reply {
	if !x.life.FirstByte() {
		o.Close()
		x.settle(o.attempt, o.word, &figsend.Failure{Kind: figsend.KindCancelled, Err: errEnded})
		return x.refuse(figlifecycle.CauseOf(figlifecycle.Internal, errEnded))
	}
	x.life.Advance(figlifecycle.Decoding)
	reply := &Reply{Status: o.Status, Header: x.outward(o.Header)}
	reply.Stream = &relay{run: x, opened: o, rest: o.first, last: o.id}
	x.count(o)
	return reply
}

// count records an event of o.
func (x *run) count(o *opened) {
	x.lastAt = x.Clock.Now()
	if x.events == 0 {
		x.firstAt = x.lastAt
	}
	x.events++
	o.use.Grow(x.eventTokens())
}

// eventTokens returns how many tokens one event of the pool's engines carries.
func (x *run) eventTokens() int64 {
	if e := x.view.Table.Pool(x.pool).Engine; e != nil {
		return max(1, e.EventTokens)
	}
	return 1
}

// produced returns how many tokens of the answer have come.
func (x *run) produced() int64 { return x.events * x.eventTokens() }
