package figowner

import (
	"slices"
	"time"

	"figtrail.dev/figtrail/internal/fleet/figview"
)

const (
	// rampCalls is the work in progress that a plain server gets at first, in calls.
	rampCalls = 2
	// plainRounds is how many calls of a plain server add one to its ramp.
	plainRounds = 16
	// prefillFull is how many seconds of its own work end a prefill server's ramp.
	prefillFull = 2
	// warmShare divides the full load of a server whose history is unknown and
	// whose process is old: what is granted without any progress.
	warmShare = 2
	// cancelEvery is the least time between two cancels of one request.
	cancelEvery = time.Second
	// missedReports is how many polls in a row may fail before that is evidence.
	missedReports = 2
	// handoverAsks is the number of grants on each report, while another owner may
	// be granting, on servers whose room isn't counted in pieces.
	handoverAsks = 2
)

// Observe takes a report that arrived at now.
func (b *Book) Observe(now time.Time, r *Report) {
	first := b.report == nil
	restarted := !first && !r.StartedAt.Equal(b.report.StartedAt)
	taken := now.Add(-r.Age)
	b.misses = 0
	b.report, b.reported = r, now
	b.resident = residents(r)
	b.Fence.Observe(r.Fence)
	b.Link.Rate(r.LinkBytesPerSecond)
	switch {
	case restarted:
		b.forget()
		b.steps = steps{}
		b.restart()
	case first:
		b.begin(now)
	case b.measureSteps(r, taken):
		b.restart()
	}
	b.strangers = max(0, r.QueueTokens-max(b.most[0], b.most[1]))
	b.most = [2]int64{b.tokens, b.most[0]}
	b.match(taken, now)
	b.asks = 0
	b.refused = false
	if taken.After(b.doubted) {
		b.doubted = time.Time{}
	}
}

// Missed takes the news that a poll failed.
func (b *Book) Missed(now time.Time) {
	b.misses++
	if b.misses == missedReports {
		b.misses = 0
		b.Fail(now, Unreachable)
	}
}

// begin sets the ramp of a server that this owner sees for the first time. What
// it carries now is proved; the rest is granted as work is seen to be done.
func (b *Book) begin(now time.Time) {
	b.restart()
	if now.Sub(b.report.StartedAt) < warmAge {
		return
	}
	b.Ramp.Progress(float64(max(b.Ramp.Full/warmShare, 2*b.reportedWork())))
	b.unproved = true
}

// Away says whether the server takes no new work for now, because it is leaving or
// its data centre is out. Its return is a ramp, from twice what it still carries.
func (b *Book) Away(away bool) {
	returned := b.away && !away
	b.away = away
	if !returned || b.report == nil {
		return
	}
	b.restart()
	b.Ramp.Progress(float64(2 * b.reportedWork()))
	b.unproved = true
}

// coldStart says whether the server is known to be in a cold start, rather than
// merely unproved to this owner.
func (b *Book) coldStart() bool { return b.Ramp.Cold() && !b.unproved }

// reportedWork returns the tokens of work that the report shows.
func (b *Book) reportedWork() int64 {
	if b.Server.Role == figview.Plain {
		return int64(len(b.report.Running))
	}
	n := b.report.QueueTokens
	if b.Server.Role == figview.Prefill {
		return n
	}
	for _, x := range b.report.Running {
		n += x.Pieces * b.PieceTokens
	}
	return n
}

// forget drops what an earlier process of the server held.
func (b *Book) forget() {
	clear(b.strays)
	clear(b.released)
	b.linkFree = time.Time{}
}

// restart begins the ramp anew.
func (b *Book) restart() {
	b.unproved = false
	total := b.Total()
	switch b.Server.Role {
	case figview.Plain:
		b.Ramp.Restart(rampCalls, orDefault(total, defaultPlainCalls))
	case figview.Prefill:
		full := int64(prefillFull * b.Speed.Or(defaultSpeed))
		b.Ramp.Restart(rampPieces*b.PieceTokens, full)
	default:
		b.Ramp.Restart(rampPieces*b.PieceTokens, total*b.PieceTokens)
	}
}

// match compares what the server reports, as of taken, with the live leases.
func (b *Book) match(taken, now time.Time) {
	listed := make(map[string]bool, len(b.report.Running))
	for _, x := range b.report.Running {
		listed[x.ID] = true
		if l, ok := b.byID[x.ID]; ok {
			l.seen = true
			b.progress(l, x.Tokens)
			continue
		}
		b.sight(x, taken, now)
	}
	for id, s := range b.strays {
		if !listed[id] && taken.After(s.since) {
			delete(b.strays, id)
		}
	}
	for id, e := range b.released {
		if !listed[id] && taken.After(e.at) {
			delete(b.released, id)
		}
	}
}

// progress credits the ramp with the part of a lease that was done since.
func (b *Book) progress(l *Lease, tokens int64) {
	if l.Output <= 0 {
		return
	}
	done := min(l.Tokens, l.Tokens*tokens/l.Output)
	if done > l.done {
		b.Ramp.Progress(float64(done - l.done))
		l.done = done
	}
}

// sight notes a running request that has no live lease.
func (b *Book) sight(x Running, taken, now time.Time) {
	e, released := b.released[x.ID]
	if released && !taken.After(e.at) {
		return
	}
	s, ok := b.strays[x.ID]
	if !ok {
		s = &stray{since: now, cancelAt: now.Add(StrangerGrace)}
		b.strays[x.ID] = s
	}
	s.pieces = x.Pieces
	if released && !e.result {
		s.cancelAt = e.at.Add(ReleaseGrace)
	}
	delete(b.released, x.ID)
}

// Holder is what an owner knows of an instance that holds leases.
type Holder struct {
	// Listed says whether it is on the published list.
	Listed bool
	// Heard is when its last message of any kind came.
	Heard time.Time
}

// gone says whether an expired lease was given up: by a holder that is no longer
// listed, that has been silent for too long, or that is heard again and has had
// the time to renew it.
func (h Holder) gone(now time.Time, l *Lease) bool {
	if !h.Listed || now.Sub(l.Heard) >= SilenceLimit {
		return true
	}
	if !h.Heard.After(l.Expires) {
		return false
	}
	if l.suspect.IsZero() {
		l.suspect = now
	}
	return now.Sub(l.suspect) >= UnrenewedGrace && h.Heard.After(l.suspect)
}

// Sweep ends the leases that were not renewed and returns the IDs of requests to
// cancel on the server. Holder returns what is known of an instance. Requests without a lease are cancelled by a fresh owner only: to another one
// they may be the work of an owner that it doesn't know.
func (b *Book) Sweep(now time.Time, holder func(name string) Holder, fresh bool) []string {
	for _, l := range b.leases {
		if now.Before(l.Expires) {
			continue
		}
		if l.seen && !holder(l.From).gone(now, l) {
			continue
		}
		b.drop(l)
		if l.seen {
			b.strays[l.ID] = &stray{pieces: l.Pieces, since: now, cancelAt: now}
		}
	}
	var cancels []string
	for id, s := range b.strays {
		if fresh && !now.Before(s.cancelAt) {
			s.cancelAt = now.Add(cancelEvery)
			cancels = append(cancels, id)
		}
	}
	slices.Sort(cancels)
	return cancels
}

// untilFree estimates when pieces will be free, from the progress of the leases.
func (b *Book) untilFree(now time.Time, pieces int64) time.Duration {
	missing := pieces - b.Free()
	best := retryCeiling
	for _, l := range b.leases {
		if l.done == 0 || l.Pieces < missing {
			continue
		}
		took := now.Sub(l.starts)
		left := time.Duration(float64(took) * float64(l.Tokens-l.done) / float64(l.done))
		best = min(best, left)
	}
	return best
}
