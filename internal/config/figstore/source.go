package figstore

import "time"

// resource is one of the three data sets read from the service.
type resource int

const (
	resourceValues resource = iota
	resourceInstances
	resourceServers
	resourceCount
)

// source tracks reads of the configuration service by this instance and, as reported by peers, by other instances.
type source struct {
	// answered is the start time of the latest successful read, failed that of the latest failed one.
	answered, failed time.Time
	// peerAnswered is when the service last answered another instance, as peers reported, and peerName that
	// instance's name.
	peerAnswered time.Time
	peerName     string
	// valuesCursor is the revision up to which this instance has read values.
	valuesCursor uint64
	// valuesComplete is set once this instance has read all values.
	valuesComplete bool
	// lastReread is the start time of the last read whose older revision reset valuesCursor.
	lastReread time.Time
	// stale says that the service's latest response was older than the data held.
	stale [resourceCount]bool
	// regressed says that the service has returned an older revision than the one held and has not passed that one
	// since.
	regressed [resourceCount]bool
}

func (c *source) recordRead(requestedAt time.Time, err error) {
	if err != nil {
		c.failed = requestedAt
		return
	}
	c.answered = requestedAt
}

// recordPeerReport records from a reply when the service last answered another instance. The age is subtracted
// from the time of the request, which is before the peer computed it, so the result is never too late.
func (c *source) recordPeerReport(requestedAt time.Time, r *Reply) {
	if r.AgeMillis < 0 {
		return
	}
	at := requestedAt.Add(-time.Duration(r.AgeMillis) * time.Millisecond)
	if at.After(c.peerAnswered) {
		c.peerAnswered, c.peerName = at, r.Source
	}
}

// lastAnswer returns the instance that the service answered last and the time since in milliseconds, rounded up;
// negative if no answer is known.
func (c *source) lastAnswer(now time.Time, self string) (name string, millis int64) {
	last, name := c.answered, self
	if c.peerAnswered.After(last) {
		last, name = c.peerAnswered, c.peerName
	}
	if last.IsZero() {
		return "", -1
	}
	return name, now.Sub(last).Milliseconds() + 1
}

// recordRevision compares a received list revision with the one held and updates stale and regressed.
func (c *source) recordRevision(r resource, got, held uint64) {
	c.stale[r] = got < held
	if got < held {
		c.regressed[r] = true
	}
	if got > held {
		c.regressed[r] = false
	}
}

// recordValues advances the cursor to a received revision. If the service returned an older revision than the
// cursor, the cursor is reset to 0, at most once per rereadInterval.
func (c *source) recordValues(revision uint64, more bool, requestedAt time.Time) {
	if !more {
		c.valuesComplete = true
	}
	if revision >= c.valuesCursor {
		c.valuesCursor = revision
		return
	}
	if c.lastReread.IsZero() || requestedAt.Sub(c.lastReread) >= rereadInterval {
		c.lastReread = requestedAt
		c.valuesCursor = 0
	}
}
