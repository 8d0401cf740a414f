package figcoordinator

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"figtrail.dev/figtrail/internal/core/figtimer"
	"figtrail.dev/figtrail/internal/fleet/figdiscovery"
	"figtrail.dev/figtrail/internal/place/figbalancer"
)

const (
	// batchDelay batches ends that happen shortly after each other into one message.
	batchDelay = 10 * time.Millisecond
	// sendTimeout is the timeout of a message, sendAttempts how often it is sent, and resendDelay the
	// time between two attempts.
	sendTimeout  = 500 * time.Millisecond
	sendAttempts = 3
	resendDelay  = 300 * time.Millisecond
	// flushTimeout limits the messages that an instance sends as it stops.
	flushTimeout = 100 * time.Millisecond
	// maxBatch bounds the ends that wait for one coordinator; the oldest are dropped beyond it, and the
	// coordinator forgets these placements when they have lasted too long.
	maxBatch = 4096
	// adoptInterval is the interval between checks whether engines have got another coordinator.
	adoptInterval = 100 * time.Millisecond
)

// outbox collects the ends of placements for the coordinators.
type outbox struct {
	placer *Placer

	mu      sync.Mutex
	pending map[string]*batch
	ready   chan struct{}
}

// batch holds the ends for one coordinator.
type batch struct {
	to   figdiscovery.Member
	ends []End
}

func newOutbox(p *Placer) *outbox {
	return &outbox{placer: p, pending: map[string]*batch{}, ready: make(chan struct{}, 1)}
}

// add queues an end for a coordinator. One for this instance takes effect at once.
func (o *outbox) add(to figdiscovery.Member, e End) {
	if o.placer.Assigner.IsSelf(to) {
		o.placer.Own.End(Key{o.placer.Instance, o.placer.Incarnation, e.Number}, &e)
		return
	}
	o.mu.Lock()
	b, ok := o.pending[to.Name]
	if !ok {
		b = &batch{to: to}
		o.pending[to.Name] = b
	}
	b.ends = append(b.ends, e)
	if len(b.ends) > maxBatch {
		b.ends = b.ends[1:]
	}
	o.mu.Unlock()
	select {
	case o.ready <- struct{}{}:
	default:
	}
}

// take returns and clears the collected ends.
func (o *outbox) take() map[string]*batch {
	o.mu.Lock()
	defer o.mu.Unlock()
	all := o.pending
	o.pending = map[string]*batch{}
	return all
}

// putBack adds the ends of a batch that wasn't sent.
func (o *outbox) putBack(b *batch) {
	for _, e := range b.ends {
		o.add(b.to, e)
	}
}

// RunEnds sends the ends of placements to coordinators until ctx ends; FlushEnds sends what is left then. It returns nil.
func (p *Placer) RunEnds(ctx context.Context, t *figtimer.Timer) error {
	var sends sync.WaitGroup
	defer sends.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.outbox.ready:
		}
		if t.Sleep(ctx, batchDelay) != nil {
			return nil
		}
		for _, b := range p.outbox.take() {
			sends.Go(func() { p.sendEnds(ctx, t, b) })
		}
	}
}

// FlushEnds ends the placements that are left and sends the ends that are, once RunEnds has returned. The requests of an
// instance that stops have ended. It returns nil.
func (p *Placer) FlushEnds(ctx context.Context) error {
	p.mu.Lock()
	active := slices.Collect(maps.Values(p.active))
	p.mu.Unlock()
	for _, t := range active {
		t.End(figbalancer.Result{}, true, 0)
	}
	limited, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	var sends sync.WaitGroup
	for _, b := range p.outbox.take() {
		sends.Go(func() {
			if _, err := p.SendEnds(limited, b.to, &Ends{Instance: p.Instance, Incarnation: p.Incarnation, All: b.ends}); err != nil {
				klog.InfoS("failed to report the last ends of placements", "coordinator", b.to.Name, "count", len(b.ends), "err", err)
			}
		})
	}
	sends.Wait()
	return nil
}

// sendEnds sends a batch, several times if it is not answered.
func (p *Placer) sendEnds(ctx context.Context, t *figtimer.Timer, b *batch) {
	q := &Ends{Instance: p.Instance, Incarnation: p.Incarnation, All: b.ends}
	var err error
	for range sendAttempts {
		limited, cancel := context.WithTimeout(ctx, sendTimeout)
		_, err = p.SendEnds(limited, b.to, q)
		cancel()
		if err == nil {
			return
		}
		if t.Sleep(ctx, resendDelay) != nil {
			p.outbox.putBack(b)
			return
		}
	}
	klog.InfoS("failed to report the ends of placements", "coordinator", b.to.Name, "count", len(b.ends), "err", err)
}

// Run follows the division of the engines and reports requests in progress to their new coordinators
// until ctx ends. It returns nil.
func (p *Placer) Run(ctx context.Context, t *figtimer.Timer) error {
	var epoch, divisions uint64
	for range t.Subscribe(ctx, adoptInterval) {
		changes := p.Shares.Refresh(p.View())
		if now := p.Assigner.Epoch(); now != epoch || changes != divisions {
			epoch, divisions = now, changes
			p.reassign(ctx)
		}
	}
	return nil
}

// reassign reports the placements in progress whose engine has got another coordinator, and the rate
// limits of such engines.
func (p *Placer) reassign(ctx context.Context) {
	now := p.Clock.Now()
	p.mu.Lock()
	active := make([]*Placement, 0, len(p.active))
	for _, t := range p.active {
		active = append(active, t)
	}
	p.mu.Unlock()
	reports := map[string]*Adopt{}
	members := map[string]figdiscovery.Member{}
	report := func(m figdiscovery.Member) *Adopt {
		if reports[m.Name] == nil {
			reports[m.Name], members[m.Name] = &Adopt{Instance: p.Instance, Incarnation: p.Incarnation}, m
		}
		return reports[m.Name]
	}
	for _, t := range active {
		m, ok := p.Shares.Coordinator(p.View(), t.request.Pool, t.Decode.Lifetime())
		if !ok || !t.moveTo(m) {
			continue
		}
		q := report(m)
		q.All = append(q.All, Held{
			Number: t.number, Pool: t.request.Pool, Decode: t.Decode.Lifetime(), Tokens: t.request.Tokens, Lasts: t.until.Sub(now),
		})
	}
	p.reassignLimits(now, report)
	for name, q := range reports {
		go p.sendAdopt(ctx, members[name], q)
	}
}

// reassignLimits adds the rate limits that this instance knows to the reports to new coordinators.
func (p *Placer) reassignLimits(now time.Time, report func(m figdiscovery.Member) *Adopt) {
	limits := p.Fallback.Limits(now)
	known := make(map[string]string, len(limits))
	v := p.View()
	for pool, servers := range v.Servers {
		for i := range servers {
			lifetime := servers[i].Lifetime()
			limit, limited := limits[lifetime]
			if !limited {
				continue
			}
			m, ok := p.Shares.Coordinator(v, pool, lifetime)
			if !ok {
				continue
			}
			known[lifetime] = m.Name
			if p.limitsAt[lifetime] != m.Name {
				q := report(m)
				q.Limits = append(q.Limits, Limit{Pool: pool, Lifetime: lifetime, PerSecond: limit})
			}
		}
	}
	p.limitsAt = known
}

// moveTo notes the current coordinator of the placement's engine. It returns false if that is unchanged.
func (t *Placement) moveTo(m figdiscovery.Member) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended || len(t.coordinators) > 0 && t.coordinators[len(t.coordinators)-1].Name == m.Name {
		return false
	}
	t.coordinators = append(t.coordinators, m)
	return true
}

func (p *Placer) sendAdopt(ctx context.Context, to figdiscovery.Member, q *Adopt) {
	if p.Assigner.IsSelf(to) {
		for i := range q.All {
			p.Own.Adopt(Key{q.Instance, q.Incarnation, q.All[i].Number}, &q.All[i])
		}
		p.Own.LearnLimits(q.Limits)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	if _, err := p.SendAdopt(ctx, to, q); err != nil {
		klog.InfoS("failed to report requests in progress to a new coordinator", "coordinator", to.Name,
			"count", len(q.All), "limits", len(q.Limits), "err", err)
	}
}
