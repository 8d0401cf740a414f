package figowner

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"figtrail.dev/figtrail/internal/core/figerror"
	"figtrail.dev/figtrail/internal/core/figtimer"
	"figtrail.dev/figtrail/internal/fleet/figview"
)

const (
	// pollInterval is the time between two polls of an owned server.
	pollInterval = 500 * time.Millisecond
	// pollTimeout is the timeout of one poll, cancel or adapter order.
	pollTimeout = time.Second
)

// Run polls the owned servers, cancels requests that run on them without a lease and orders missing
// adapters, until ctx ends. It always returns nil.
func (o *Owner) Run(ctx context.Context, t *figtimer.Timer) error {
	var calls sync.WaitGroup
	defer calls.Wait()
	for now := range t.Subscribe(ctx, pollInterval) {
		for _, s := range o.startPolls(now) {
			calls.Go(func() { o.poll(ctx, s) })
		}
	}
	return nil
}

// startPolls returns the owned servers that are not being polled, and marks them as being polled.
func (o *Owner) startPolls(now time.Time) []figview.Server {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.syncBackends(now)
	servers := make([]figview.Server, 0, len(o.backends))
	for n, b := range o.backends {
		if !o.polling[n] {
			o.polling[n] = true
			servers = append(servers, b.Server)
		}
	}
	return servers
}

func (o *Owner) poll(ctx context.Context, s figview.Server) {
	defer o.pollDone(s.Name)
	load, cancel := context.WithTimeout(ctx, pollTimeout)
	r, err := o.opts.Poll(load, s)
	cancel()
	if ctx.Err() != nil {
		return
	}
	for _, id := range o.RecordPoll(s.Name, r, err) {
		c, stop := context.WithTimeout(ctx, pollTimeout)
		// A failed cancel is repeated after a later report that still lists the request.
		_ = o.opts.Cancel(c, s, id)
		stop()
	}
	if name, ok := o.adapterToLoad(s.Name); ok {
		c, stop := context.WithTimeout(ctx, pollTimeout)
		// If the order fails, the engine loads the adapter with the first request that needs it.
		_ = o.SendOrder(c, s.Name, LoadAdapter, name)
		stop()
	}
}

// adapterToLoad returns an adapter that the server should be ordered to load, and false if there is
// none.
func (o *Owner) adapterToLoad(server string) (string, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	b, ok := o.backends[server]
	if !ok {
		return "", false
	}
	return b.TakeMissingAdapter(o.opts.Clock.Now())
}

func (o *Owner) pollDone(server string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.polling, server)
}

// RecordPoll records the result of one poll and returns the IDs of the requests to cancel on that
// server. An error, or a nil report, counts as a failed poll.
func (o *Owner) RecordPoll(server string, r *Report, err error) []string {
	now := o.opts.Clock.Now()
	fresh := o.opts.ViewFresh()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.syncBackends(now)
	b, ok := o.backends[server]
	if !ok {
		return nil
	}
	o.updateDraining(b)
	if err != nil || r == nil {
		b.PollFailed(now)
	} else {
		b.Observe(now, r)
	}
	return b.Sweep(now, o.holderStatus, fresh)
}

// holderStatus returns the status of an instance that holds leases. The caller holds mu.
func (o *Owner) holderStatus(name string) HolderStatus {
	_, listed := o.view.Find(name)
	return HolderStatus{Listed: listed, LastHeard: o.lastHeard[name]}
}

// SendOrder sends an order with a fencing number to an owned server. If the pool doesn't check fencing
// numbers, only LoadModel and LoadAdapter orders are sent, as they may safely be repeated, and only
// while the view is fresh; otherwise SendOrder returns an error.
func (o *Owner) SendOrder(ctx context.Context, server string, kind OrderKind, name string) error {
	s, fence, err := o.nextFence(server, kind)
	if err != nil {
		return err
	}
	return figerror.Wrap(o.opts.SendOrder(ctx, s, Order{Fence: fence, Kind: kind, Name: name}), "order", server)
}

func (o *Owner) nextFence(server string, kind OrderKind) (figview.Server, uint64, error) {
	fresh := o.opts.ViewFresh()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.syncBackends(o.opts.Clock.Now())
	b, ok := o.backends[server]
	if !ok {
		return figview.Server{}, 0, figerror.New("order", server, "this instance does not own the server")
	}
	p, ok := o.opts.Pool(b.Server.Pool)
	checks := ok && p.ChecksFencingToken
	harmless := fresh && kind.repeatable()
	if !checks && !harmless {
		return figview.Server{}, 0, figerror.New("order", server, "pool does not check fencing numbers, and the order is not repeatable or the view is not fresh")
	}
	n, err := b.Fence.Next(server)
	return b.Server, n, err
}

// Status returns the state of the owned servers, sorted by name.
func (o *Owner) Status() []Status {
	now := o.opts.Clock.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.syncBackends(now)
	all := make([]Status, 0, len(o.backends))
	for _, b := range o.backends {
		all = append(all, b.Status(now))
	}
	slices.SortFunc(all, func(a, b Status) int { return strings.Compare(a.Server, b.Server) })
	return all
}
