package figproxy

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"figtrail.dev/figtrail/internal/config/figcatalogue"
	"figtrail.dev/figtrail/internal/core/figerror"
	"figtrail.dev/figtrail/internal/fleet/figview"
	"figtrail.dev/figtrail/internal/limit/figqueue"
	"figtrail.dev/figtrail/internal/place/figbalancer"
	"figtrail.dev/figtrail/internal/request/figlifecycle"
	"figtrail.dev/figtrail/internal/request/figsend"
)

// sendsLimit bounds the sends of one request, refused ones included.
const sendsLimit = 4

var (
	errEnded    = errors.New("the request has ended")
	errForeign  = errors.New("the answer is not the server application's own")
	errTryLimit = errors.New("no answer within the limit of one try")
)

func lower(s string) string { return strings.ToLower(s) }

// place chooses a server by the newest view.
func (x *run) place(near string, tokens int64, roles ...figview.Role) (*figcatalogue.Server, error) {
	x.view = x.View()
	if x.view.Table == nil {
		return nil, &figbalancer.NoServer{Reason: "there is no configuration"}
	}
	return x.Picker.Pick(x.Clock.Now(), &figbalancer.Query{View: x.view, Pool: x.pool, Roles: roles, Near: near, Tokens: tokens, Avoid: x.avoid})
}

// reason says why a request wasn't placed.
func reason(err error) figlifecycle.Reason {
	var none *figbalancer.NoServer
	var refusal *figqueue.Refusal
	switch {
	case errors.As(err, &none) && !none.Full:
		return figlifecycle.NoServer
	case none != nil, errors.As(err, &refusal):
		return figlifecycle.QueueFull
	}
	return figlifecycle.NoServer
}

// noServer is the cause of a request that no server may be sent.
func (x *run) noServer(err error) figlifecycle.Cause {
	c := figlifecycle.Cause{Reason: reason(err), Err: figerror.Wrap(err, "place", x.pool), RetryAfter: startWait}
	var none *figbalancer.NoServer
	if errors.As(err, &none) && none.Wait > 0 {
		c.RetryAfter = none.Wait
	}
	return c
}

// request returns the call of a send to s.
func (x *run) request(s *figcatalogue.Server, m Mark) *figsend.Call {
	m.Server = s.Name
	m.Left = x.expires.Sub(x.Clock.Now())
	if x.account != nil {
		m.Account = x.account.Name
	}
	header := make([]figsend.Header, 0, len(x.Header)+len(m.Account))
	header = append(header, x.Header...)
	return &figsend.Call{
		ID:       x.ID,
		Host:     x.Host,
		Server:   s.Server,
		Method:   x.Method,
		Path:     x.Target,
		Header:   append(header, x.Dialect.Mark(m)...),
		Body:     x.Body,
		Secret:   x.Secret,
		Keep:     true,
		Deadline: x.until,
	}
}

// attempt is one send in progress.
type attempt struct {
	server *figcatalogue.Server
	send   *figlifecycle.Send
	begun  time.Time
	use    *figbalancer.Use
}

// begin records a send to s. A send that counts is one that may run the request.
func (x *run) begin(s *figcatalogue.Server, tokens int64, counts, resume bool) (*attempt, error) {
	a := &attempt{server: s, begun: x.Clock.Now()}
	if counts {
		ask := x.life.Send
		if resume {
			ask = x.life.Resume
		}
		var err error
		if a.send, err = ask(); err != nil {
			return nil, err
		}
	}
	if counts {
		x.sends++
	}
	a.use = x.Picker.Begin(a.begun, x.view, s, tokens)
	held := x.Picker.HeldAt(a.begun, s)
	klog.InfoS("sending", "requestId", x.ID, "server", s.Name, "role", s.Role.String(), "send", x.sends, "resume", resume,
		"running", held.Requests, "heldTokens", held.Tokens, "tokens", tokens, "viewAge", a.begun.Sub(x.view.ReadAt), "version", x.view.Table.Version, "left", x.expires.Sub(a.begun))
	return a, nil
}

// settle records how a send ended. word is what the answer said, if one came.
func (x *run) settle(a *attempt, word Word, err error) {
	now := x.Clock.Now()
	x.lastTook = now.Sub(a.begun)
	r := figbalancer.Result{
		Running: word.Running, Waiting: word.Waiting, Slots: word.Slots, Known: word.Loaded,
		Erred: word.Erred,
	}
	x.Count("sends", "result", resultOf(err))
	if err == nil {
		r.Known = r.Known && a.server.Role != figview.Decode // it was taken at the begin
		a.use.End(now, r)
		if a.send != nil {
			a.send.OK()
		}
		return
	}
	kind := figsend.KindOf(err)
	own := x.ctx.Err() != nil && !errors.Is(err, errTryLimit)
	r.Unreachable = (kind == figsend.KindConnect || word.Moved) && !own
	r.Full = kind == figsend.KindRefused && !word.Moved
	r.Failed = !own && kind != figsend.KindRefused && kind != figsend.KindInvalid && kind != figsend.KindBusy && !x.lostKept(err)
	a.use.End(now, r)
	if a.send != nil {
		a.send.Fail(err)
	}
	if figsend.RanOf(err) != figsend.NotRun && a.send != nil {
		x.noteRan(a.server)
	}
	klog.InfoS("send failed", "requestId", x.ID, "server", a.server.Name, "ran", figsend.RanOf(err).String(),
		"kind", kind.String(), "took", now.Sub(a.begun), "callerLeft", own, "err", err)
}

// resultOf names how a send ended, for metrics.
func resultOf(err error) string {
	if err == nil {
		return "answered"
	}
	return figsend.KindOf(err).String()
}

// lostKept says that a kept connection turned out to be closed, which shows nothing of
// the server. One that breaks later broke while the server was at work.
func (x *run) lostKept(err error) bool {
	var f *figsend.Failure
	return errors.As(err, &f) && f.Reused && f.Kind == figsend.KindCut && x.lastTook < closedWithin
}

// closedWithin is the time after which a connection that broke can't have been closed
// before the request came: some round trips between data centres.
const closedWithin = 10 * time.Millisecond

func (x *run) noteRan(s *figcatalogue.Server) {
	if life := s.Lifetime(); !slices.Contains(x.ran, life) {
		x.ran = append(x.ran, life)
	}
}

// again says whether the request may be sent once more after err.
func (x *run) again(s *figcatalogue.Server, err error) bool {
	if x.ctx.Err() != nil || x.sends >= sendsLimit {
		return false
	}
	unsent := figsend.RanOf(err) == figsend.NotRun
	if !unsent && (!x.route.Kind.Repeats() || len(x.ran) >= max(1, x.route.Servers)) {
		return false
	}
	if !x.lostKept(err) {
		x.avoid = append(x.avoid, s.Lifetime())
	}
	if unsent && figsend.KindOf(err) != figsend.KindRefused {
		return true // nothing arrived anywhere
	}
	return x.Retries.Take(x.Clock.Now(), x.pool)
}

// failed is the cause of a request whose last send failed.
func (x *run) failed(err error) figlifecycle.Cause {
	c := figlifecycle.CauseOf(figlifecycle.ServerFailed, err)
	if figsend.KindOf(err) == figsend.KindDeadline {
		c.Reason = figlifecycle.Deadline // the send may notice it before the context does
	}
	if figsend.RanOf(err) == figsend.NotRun {
		c.RetryAfter = fullWait
	}
	return c
}

// limited returns a context that ends with the request, or after d if d is above 0.
func (x *run) limited(d time.Duration) (context.Context, context.CancelFunc) {
	if d <= 0 {
		return x.ctx, func() {}
	}
	return context.WithTimeoutCause(x.ctx, d, errTryLimit)
}

// tryError marks an error that only the limit of a try caused.
func (x *run) tryError(ctx context.Context, err error) error {
	if err == nil || x.ctx.Err() != nil || ctx.Err() == nil {
		return err
	}
	return &figsend.Failure{Ran: figsend.RanOf(err), Kind: figsend.KindSilent, Err: errors.Mark(err, errTryLimit)}
}
