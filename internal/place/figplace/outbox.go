package figplace

import (
	"time"

	"figtrail.dev/figtrail/internal/place/figowner"
)

// outboxItems bounds what waits for one owner. What doesn't fit is dropped: leases
// expire by themselves, and evidence and measurements come again.
const outboxItems = 1024

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
	epoch uint64
	ended time.Time
}

// message returns the release as it is sent to an owner last seen in epoch: by
// number alone if the number belongs to it, else by server and request.
func (r pendingRelease) message(epoch uint64, now time.Time) figowner.Release {
	m := r.Release
	m.AgoMillis = now.Sub(r.ended).Milliseconds()
	if m.Lease != 0 && r.epoch == epoch {
		m.Server, m.ID = "", ""
	} else {
		m.Lease = 0
	}
	return m
}

func (b *outbox) release(r pendingRelease) {
	if len(b.releases) < outboxItems {
		b.releases = append(b.releases, r)
	}
}

func (b *outbox) fail(f figowner.Failure) {
	if len(b.failures) < outboxItems {
		b.failures = append(b.failures, f)
	}
}

func (b *outbox) transfer(t figowner.Transfer) {
	if len(b.transfers) < outboxItems {
		b.transfers = append(b.transfers, t)
	}
}

func (b *outbox) empty() bool {
	return len(b.releases)+len(b.failures)+len(b.transfers) == 0
}

// box returns the outbox of an owner. The caller holds mu.
func (p *Placer) box(owner string) *outbox {
	b, ok := p.outbox[owner]
	if !ok {
		b = &outbox{}
		p.outbox[owner] = b
	}
	return b
}
