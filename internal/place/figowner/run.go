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
	// pollTimeout bounds one poll or cancel.
	pollTimeout = time.Second
)

// Run polls the owned servers and cancels what holds their memory without a
// lease, until ctx ends.
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

// due returns the owned servers that no poll is under way for, and marks them.
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
	r, err := o.opts.Load(load, s)
	cancel()
	if ctx.Err() != nil {
		return
	}
	for _, id := range o.Observe(s.Name, r, err) {
		c, stop := context.WithTimeout(ctx, pollTimeout)
		// A cancel that the server didn't hear is sent again after a later report.
		_ = o.opts.Cancel(c, s, id)
		stop()
	}
	if name, ok := o.adapterToLoad(s.Name); ok {
		c, stop := context.WithTimeout(ctx, pollTimeout)
		// Without the order the engine loads the adapter with the first request.
		_ = o.Order(c, s.Name, LoadAdapter, name)
		stop()
	}
}

// wanted returns an adapter that a server should load.
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

// Observe takes the outcome of one poll and returns the IDs of the requests to
// cancel on that server.
func (o *Owner) Observe(server string, r *Report, err error) []string {
	now := o.opts.Clock.Now()
	fresh := o.opts.Fresh()
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

// holder returns what is known of an instance. The caller holds mu.
func (o *Owner) holderStatus(name string) HolderStatus {
	_, listed := o.view.Find(name)
	return HolderStatus{Listed: listed, LastHeard: o.lastHeard[name]}
}

// Order gives an owned server an order with a fencing number. A server of a pool
// that doesn't check numbers gets it only while the view is fresh, and only an
// order that does no harm when it is given twice.
func (o *Owner) Order(ctx context.Context, server string, kind OrderKind, name string) error {
	s, fence, err := o.nextFence(server, kind)
	if err != nil {
		return err
	}
	return figerror.Wrap(o.opts.Order(ctx, s, Order{Fence: fence, Kind: kind, Name: name}), "order", server)
}

func (o *Owner) nextFence(server string, kind OrderKind) (figview.Server, uint64, error) {
	fresh := o.opts.Fresh()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.syncBackends(o.opts.Clock.Now())
	b, ok := o.backends[server]
	if !ok {
		return figview.Server{}, 0, figerror.New("order", server, "server has another owner")
	}
	p, ok := o.opts.Pool(b.Server.Pool)
	checks := ok && p.ChecksFence
	harmless := fresh && kind.repeatable()
	if !checks && !harmless {
		return figview.Server{}, 0, figerror.New("order", server, "order isn't safe without a check of its number")
	}
	n, err := b.Fence.Next(server)
	return b.Server, n, err
}

// Status returns the state of the owned servers, by name.
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
