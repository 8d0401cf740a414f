package figplace

import (
	"time"

	"figtrail.dev/figtrail/internal/place/figowner"
)

// maxOutboxItems bounds each kind of item queued for one owner. Items beyond it are dropped: unreleased
// leases expire without renewal, and later requests report failures and transfers again.
const maxOutboxItems = 1024

// outbox holds the items queued for the next message to one owner, and the owner's epoch as of its last
// reply.
type outbox struct {
	releases  []pendingRelease
	failures  []figowner.Failure
	transfers []figowner.Transfer
	epoch     uint64
}

// pendingRelease is a queued release with the epoch that its lease number belongs to and the time at which
// the work ended.
type pendingRelease struct {
	figowner.Release
	epoch   uint64
	endedAt time.Time
}

// message returns the release to send to an owner whose last known epoch is given. If the lease number
// belongs to that epoch, it names the lease by number alone, else by server and request ID.
func (r pendingRelease) message(epoch uint64, now time.Time) figowner.Release {
	m := r.Release
	m.EndedAgoMillis = now.Sub(r.endedAt).Milliseconds()
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

// outboxOf returns the outbox of an owner and creates it if there is none. The caller holds mu.
func (p *Placer) outboxOf(owner string) *outbox {
	b, ok := p.outboxes[owner]
	if !ok {
		b = &outbox{}
		p.outboxes[owner] = b
	}
	return b
}
