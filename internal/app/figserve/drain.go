package figserve

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"figtrail.dev/figtrail/internal/fleet/figview"
)

// Drain ends the instance's work without cutting a request. It says that it is
// not ready, goes on accepting until the balancer has noticed, then closes to new
// requests and waits for the running ones, up to the drain limit. It returns when
// nothing runs any more or ctx ends; the caller then ends Run's context.
func (i *Instance) Drain(ctx context.Context) {
	i.draining.Store(true)
	i.member.SetDraining(true)
	klog.InfoS("draining", "notice", i.DrainNotice, "limit", i.DrainLimit)
	if i.timer.Sleep(ctx, i.DrainNotice) != nil {
		return
	}
	limited, cancel := context.WithTimeout(ctx, i.DrainLimit)
	defer cancel()
	if err := i.front.Shutdown(limited); err != nil {
		klog.ErrorS(err, "requests were cut at the drain limit")
	}
	i.handOver(limited)
	klog.InfoS("drained")
}

// handOverLimit bounds the wait for the published list to show that this
// instance leaves, after which the others pull what it holds.
const handOverLimit = 10 * time.Second

// handOverInterval is how often that is looked up.
const handOverInterval = 50 * time.Millisecond

// handOver waits until the others have taken over what this instance holds.
func (i *Instance) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverLimit)
	defer cancel()
	for i.holds() {
		if i.timer.Sleep(ctx, handOverInterval) != nil {
			return
		}
	}
}

// holds says that the list still names this instance as live, or that it has
// parts of budgets that nobody has taken over.
func (i *Instance) holds() bool {
	m, listed := i.store.View().Find(i.Name)
	if listed && m.State == figview.Live {
		return true
	}
	b := i.budget.Status()
	return b.Active+b.Releasing > 0
}
