package figstore

import "time"

// which names one of the three things read from the service.
type resource int

const (
	resourceValues resource = iota
	resourceInstances
	resourceServers
	resourceCount
)

// source keeps what this instance knows of the service.
type source struct {
	// answered is when the latest answered read was asked; failed the latest without.
	answered, failed time.Time
	// elsewhere is when the service last answered another instance, as peers tell,
	// and elsewhereName the name of that instance.
	peerAnswered time.Time
	peerName     string
	// valuesCursor is the revision up to which values have been read.
	valuesCursor uint64
	// valuesComplete is set once values have been read to their end.
	valuesComplete bool
	lastReread     time.Time
	// stale says that the service's latest answer was older than what is known.
	stale [resourceCount]bool
	// behind says that the service has gone back since the list was last read whole.
	regressed [resourceCount]bool
}

func (c *source) recordRead(asked time.Time, err error) {
	if err != nil {
		c.failed = asked
		return
	}
	c.answered = asked
}

// heard takes in a peer's word on the service. The age counts from when the peer
// was asked, which is before it answered.
func (c *source) recordPeerReport(asked time.Time, r *Reply) {
	if r.AgeMillis < 0 {
		return
	}
	at := asked.Add(-time.Duration(r.AgeMillis) * time.Millisecond)
	if at.After(c.peerAnswered) {
		c.peerAnswered, c.peerName = at, r.Source
	}
}

// age returns which instance the service last answered, and how many
// milliseconds ago; negative for never.
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

// revision compares the revision of a list with the one held.
func (c *source) recordRevision(r resource, got, held uint64) {
	c.stale[r] = got < held
	if got < held {
		c.regressed[r] = true
	}
	if got > held {
		c.regressed[r] = false
	}
}

func (c *source) recordValues(revision uint64, more bool, asked time.Time) {
	if !more {
		c.valuesComplete = true
	}
	if revision >= c.valuesCursor {
		c.valuesCursor = revision
		return
	}
	if c.lastReread.IsZero() || asked.Sub(c.lastReread) >= rereadInterval {
		c.lastReread = asked
		c.valuesCursor = 0
	}
}
