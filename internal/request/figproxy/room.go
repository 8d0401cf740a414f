package figproxy

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"figtrail.dev/figtrail/internal/config/figcatalogue"
	"figtrail.dev/figtrail/internal/fleet/figview"
	"figtrail.dev/figtrail/internal/limit/figqueue"
	"figtrail.dev/figtrail/internal/place/figbalancer"
)

const (
	// promptRate is the number of prompt tokens that a prefill server computes in a
	// second, and firstPause what the transfer and the first step add. They give the
	// time from a placement to the first event.
	promptRate = 55000
	firstPause = 80 * time.Millisecond
	// lateWait bounds how long a request that is late already waits for room, as a
	// part of the target: for as long as others could still be on time it would only
	// take their room. Its caller is told when to come back instead.
	lateWait = 1.0 / 3
	// resumeWait bounds how long a request that a server failed waits for room
	// elsewhere: callers give up a stream after 2 s without an event.
	resumeWait = 700 * time.Millisecond
	// paceWait is how long a request waits before it asks again for a server in a
	// cold start.
	paceWait = 40 * time.Millisecond
)

// timing says by when a model request must have been placed.
type timing struct {
	// by is the latest time for a placement.
	by time.Time
	// late says that its first event can't be on time any more. Such requests go
	// behind those that can.
	late bool
}

// timingOf works out by when a request must have been placed. A caller that has
// come back says so by the patience that it has left: the latency target counts
// from its first attempt.
func timingOf(arrived time.Time, patience, limit, target time.Duration, promptTokens int64) timing {
	spent := time.Duration(0)
	if patience > 0 && patience < limit {
		spent = limit - patience
	}
	first := firstPause + time.Duration(float64(promptTokens)/promptRate*float64(time.Second))
	by := arrived.Add(target - first - spent)
	if by.After(arrived) {
		return timing{by: by}
	}
	return timing{by: arrived.Add(time.Duration(lateWait * float64(target))), late: true}
}

// room waits for a decode server with memory for the request and reserves it there.
func (x *run) room(resume bool) (*figcatalogue.Server, error) {
	now := x.Clock.Now()
	when := timingOf(x.Arrived, x.Patience, x.route.TimeLimit, x.route.Target, x.PromptTokens)
	again := resume || x.sends > 0
	if again {
		when = timing{by: now.Add(resumeWait)}
	}
	if when.by.After(x.until) {
		when.by = x.until
	}
	need := x.PromptTokens
	var s *figcatalogue.Server
	var failed error
	ctx, cancel := context.WithDeadline(x.ctx, when.by)
	defer cancel()
	item := figqueue.Item{
		Tokens:   need,
		Bytes:    int64(len(x.Body)),
		Deadline: when.by,
		Priority: x.priority(again, when.late),
		Place: func(context.Context) figqueue.Verdict {
			s, failed = x.place(x.DataCentre, need, figview.Decode, figview.Plain)
			return x.verdict(s, need, failed)
		},
	}
	if x.account != nil {
		item.Account = x.account.Name
	}
	err := x.Queue(x.pool).Do(ctx, item)
	waited := x.Clock.Now().Sub(now)
	if err == nil {
		if waited > paceWait {
			klog.InfoS("placed", "requestId", x.ID, "server", s.Name, "waited", waited, "late", when.late)
		}
		return s, nil
	}
	klog.InfoS("not placed", "requestId", x.ID, "pool", x.pool, "waited", waited, "late", when.late, "need", need, "err", err, "reason", failed)
	if failed != nil {
		err = errors.CombineErrors(failed, err)
	}
	return nil, err
}

// priority puts requests that servers have worked on first, then late requests, and those beyond
// their account's rate last.
func (x *run) priority(again, late bool) int {
	switch {
	case again:
		return 1
	case x.spare:
		return -2
	case late:
		return -1
	default:
		return 0
	}
}

// verdict reserves the memory of a request that was placed.
func (x *run) verdict(s *figcatalogue.Server, need int64, err error) figqueue.Verdict {
	if err == nil {
		x.reserved = x.Picker.Reserve(x.Clock.Now(), s, need)
		return figqueue.Placed
	}
	var none *figbalancer.NoServer
	if !errors.As(err, &none) || (!none.Full && none.Wait == 0) {
		return figqueue.Rejected
	}
	if none.Wait > 0 {
		x.Timer.After(min(none.Wait, paceWait), x.Queue(x.pool).Wake)
	}
	return figqueue.NoRoom
}

// unreserve gives back what is reserved, if anything is.
func (x *run) unreserve() {
	if x.reserved != nil {
		x.reserved.Release()
		x.reserved = nil
	}
}
