package figplace

import (
	"time"

	"figtrail.dev/figtrail/internal/place/figowner"
)

// maxOutboxItems bounds what waits for one owner. What doesn't fit is dropped: leases
// expire by themselves, and evidence and measurements come again.
const maxOutboxItems = 1024

// outbox is what waits to be sent to one owner.
type outbox struct {
	releases  []pendingRelease
	failures  []figowner.Failure
	transfers []figowner.Transfer
	epoch     uint64
}

// pendingRelease is a release with the time at which the work ended.
type pendingRelease struct {
	figowner.Release
	epoch   uint64
	endedAt time.Time
}

// message returns the release as it is sent to an owner last seen in epoch: by
// number alone if the number belongs to it, else by server and request.
func (r pendingRelease) message(epoch uint64, now time.Time) figowner.Release {
	m := r.Release
	m.AgoMillis = now.Sub(r.endedAt).Milliseconds()
	if m.Lease != 0 && r.epoch == epoch {
		m.Server, m.ID = "", ""
	} else {
		m.Lease = 0
	}
	return m
}

func (b *outbox) addRelease(r pendingRelease) {
	if len(b.releases) < maxOutboxItems {
		b.releases = append(b.releases, r)
	}
}

func (b *outbox) addFailure(f figowner.Failure) {
	if len(b.failures) < maxOutboxItems {
		b.failures = append(b.failures, f)
	}
}

func (b *outbox) addTransfer(t figowner.Transfer) {
	if len(b.transfers) < maxOutboxItems {
		b.transfers = append(b.transfers, t)
	}
}

func (b *outbox) isEmpty() bool {
	return len(b.releases)+len(b.failures)+len(b.transfers) == 0
}

// outboxOf returns the outbox of an owner. The caller holds mu.
func (p *Placer) outboxOf(owner string) *outbox {
	b, ok := p.outboxes[owner]
	if !ok {
		b = &outbox{}
		p.outboxes[owner] = b
	}
	return b
}
