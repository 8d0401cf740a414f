package figbalancer

import (
	"time"

	"k8s.io/klog/v2"

	"figtrail.dev/figtrail/internal/config/figcatalogue"
)

const (
	// leavingTTL is how long after its last listing a leaving server is remembered: a list may be an old copy.
	leavingTTL = 10 * time.Minute
	// listingInterval is the time between two checks which of the leaving servers are listed.
	listingInterval = time.Second
)

// RecordLeaving records that s has said that it leaves, which is final for its lifetime.
func (p *Picker) RecordLeaving(now time.Time, s *figcatalogue.Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordLeaving(now, s)
}

// recordLeaving is like RecordLeaving. p.mu must be held.
func (p *Picker) recordLeaving(now time.Time, s *figcatalogue.Server) {
	if p.leaves(s) {
		return
	}
	n := p.noticeOf(s)
	n.leaving, n.leftStart, n.listedAt = true, s.StartedAt, now
	klog.InfoS("server says that it leaves", "server", s.Name, "pool", s.Pool, "listed", s.State.String())
}
