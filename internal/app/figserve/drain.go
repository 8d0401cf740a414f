package figserve

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"figtrail.dev/figtrail/internal/fleet/figview"
)

// Drain shuts the instance down gracefully. It first reports that it isn't ready while it
// still accepts requests for Settings.DrainNotice, so that the load balancer can notice.
// Then it stops accepting and waits for the running requests. Requests that still run
// after Settings.DrainLimit are aborted. Last, it waits for the handover of its budget
// slots to other instances, for at most handOverTimeout and what is left of DrainLimit.
// It returns early if ctx ends. The caller then ends the context of Run.
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
		klog.ErrorS(err, "requests were aborted at the drain limit")
	}
	i.handOver(limited)
	klog.InfoS("drained")
}

// handOverTimeout is how long a draining instance waits until the published list of
// instances shows that it is leaving and the other instances have taken over its budget slots.
const handOverTimeout = 10 * time.Second

// handOverInterval is the interval between checks of the handover.
const handOverInterval = 50 * time.Millisecond

// handOver waits until holdsState returns false, or until handOverTimeout has passed or ctx ends.
func (i *Instance) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	for i.holdsState() {
		if i.timer.Sleep(ctx, handOverInterval) != nil {
			return
		}
	}
}

// holdsState reports whether the published list still shows this instance as live, or
// whether it has budget slots that no other instance has taken over.
func (i *Instance) holdsState() bool {
	m, listed := i.store.View().Find(i.Name)
	if listed && m.State == figview.Live {
		return true
	}
	b := i.budget.Status()
	return b.Active+b.Releasing > 0
}
