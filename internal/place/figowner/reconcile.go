package figowner

import (
	"slices"
	"time"

	"figtrail.dev/figtrail/internal/fleet/figview"
)

const (
	// rampCalls is the work in progress that a plain server gets at first, in calls.
	initialRampCalls = 2
	// plainRounds is how many calls of a plain server add one to its ramp.
	callsPerRampStep = 16
	// prefillFull is how many seconds of its own work end a prefill server's ramp.
	prefillFullSeconds = 2
	// warmShare divides the full load of a server whose history is unknown and
	// whose process is old: what is granted without any progress.
	warmDivisor = 2
	// cancelEvery is the least time between two cancels of one request.
	cancelInterval = time.Second
	// missedReports is how many polls in a row may fail before that is evidence.
	failedPollLimit = 2
	// handoverAsks is the number of grants on each report, while another owner may
	// be granting, on servers whose room isn't counted in pieces.
	handoverGrants = 2
)

// Observe takes a report that arrived at now.
func (b *Backend) Observe(now time.Time, r *Report) {
	first := b.report == nil
	restarted := !first && !r.StartedAt.Equal(b.report.StartedAt)
	taken := now.Add(-r.Age)
	b.failedPolls = 0
	b.report, b.reportedAt = r, now
	b.resident = residentHashes(r)
	b.Fence.ObserveAccepted(r.Fence)
	b.Link.AddRate(r.LinkBytesPerSecond)
	switch {
	case restarted:
		b.forgetRequests()
		b.lastSteps = decodeSteps{}
		b.restartRamp()
	case first:
		b.startRamp(now)
	case b.measureDecode(r, taken):
		b.restartRamp()
	}
	b.unleasedPrefillTokens = max(0, r.QueueTokens-max(b.peakTokens[0], b.peakTokens[1]))
	b.peakTokens = [2]int64{b.leasedTokens, b.peakTokens[0]}
	b.reconcile(taken, now)
	b.grantsSinceReport = 0
	b.serverRefused = false
	if taken.After(b.doubtedAt) {
		b.doubtedAt = time.Time{}
	}
}

// Missed takes the news that a poll failed.
func (b *Backend) PollFailed(now time.Time) {
	b.failedPolls++
	if b.failedPolls == failedPollLimit {
		b.failedPolls = 0
		b.RecordFailure(now, Unreachable)
	}
}

// begin sets the ramp of a server that this owner sees for the first time. What
// it carries now is proved; the rest is granted as work is seen to be done.
func (b *Backend) startRamp(now time.Time) {
	b.restartRamp()
	if now.Sub(b.report.StartedAt) < warmProcessAge {
		return
	}
	b.Ramp.AddProgress(float64(max(b.Ramp.Full/warmDivisor, 2*b.reportedWork())))
	b.unverified = true
}

// Away says whether the server takes no new work for now, because it is leaving or
// its data centre is out. Its return is a ramp, from twice what it still carries.
func (b *Backend) SetDraining(away bool) {
	returned := b.draining && !away
	b.draining = away
	if !returned || b.report == nil {
		return
	}
	b.restartRamp()
	b.Ramp.AddProgress(float64(2 * b.reportedWork()))
	b.unverified = true
}

// coldStart says whether the server is known to be in a cold start, rather than
// merely unproved to this owner.
func (b *Backend) coldStart() bool { return b.Ramp.Active() && !b.unverified }

// reportedWork returns the tokens of work that the report shows.
func (b *Backend) reportedWork() int64 {
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
func (b *Backend) forgetRequests() {
	clear(b.unleased)
	clear(b.released)
	b.linkFreeAt = time.Time{}
}

// restart begins the ramp anew.
func (b *Backend) restartRamp() {
	b.unverified = false
	total := b.Total()
	switch b.Server.Role {
	case figview.Plain:
		b.Ramp.Restart(initialRampCalls, orDefault(total, defaultPlainCalls))
	case figview.Prefill:
		full := int64(prefillFullSeconds * b.Speed.ValueOr(defaultPrefillSpeed))
		b.Ramp.Restart(initialRampPieces*b.PieceTokens, full)
	default:
		b.Ramp.Restart(initialRampPieces*b.PieceTokens, total*b.PieceTokens)
	}
}

// match compares what the server reports, as of taken, with the live leases.
func (b *Backend) reconcile(taken, now time.Time) {
	listed := make(map[string]bool, len(b.report.Running))
	for _, x := range b.report.Running {
		listed[x.ID] = true
		if l, ok := b.byID[x.ID]; ok {
			l.reported = true
			b.creditProgress(l, x.Tokens)
			continue
		}
		b.trackUnleased(x, taken, now)
	}
	for id, s := range b.unleased {
		if !listed[id] && taken.After(s.since) {
			delete(b.unleased, id)
		}
	}
	for id, e := range b.released {
		if !listed[id] && taken.After(e.releasedAt) {
			delete(b.released, id)
		}
	}
}

// progress credits the ramp with the part of a lease that was done since.
func (b *Backend) creditProgress(l *Lease, tokens int64) {
	if l.Output <= 0 {
		return
	}
	done := min(l.Tokens, l.Tokens*tokens/l.Output)
	if done > l.doneTokens {
		b.Ramp.AddProgress(float64(done - l.doneTokens))
		l.doneTokens = done
	}
}

// sight notes a running request that has no live lease.
func (b *Backend) trackUnleased(x Running, taken, now time.Time) {
	e, released := b.released[x.ID]
	if released && !taken.After(e.releasedAt) {
		return
	}
	s, ok := b.unleased[x.ID]
	if !ok {
		s = &unleasedRequest{since: now, cancelAt: now.Add(UnleasedGrace)}
		b.unleased[x.ID] = s
	}
	s.pieces = x.Pieces
	if released && !e.keepsResult {
		s.cancelAt = e.releasedAt.Add(ReleaseGrace)
	}
	delete(b.released, x.ID)
}

// Holder is what an owner knows of an instance that holds leases.
type HolderStatus struct {
	// Listed says whether it is on the published list.
	Listed bool
	// Heard is when its last message of any kind came.
	LastHeard time.Time
}

// gone says whether an expired lease was given up: by a holder that is no longer
// listed, that has been silent for too long, or that is heard again and has had
// the time to renew it.
func (h HolderStatus) gaveUp(now time.Time, l *Lease) bool {
	if !h.Listed || now.Sub(l.LastRenewed) >= SilenceLimit {
		return true
	}
	if !h.LastHeard.After(l.Expires) {
		return false
	}
	if l.heardAfterExpiry.IsZero() {
		l.heardAfterExpiry = now
	}
	return now.Sub(l.heardAfterExpiry) >= RenewalGrace && h.LastHeard.After(l.heardAfterExpiry)
}

// Sweep ends the leases that were not renewed and returns the IDs of requests to
// cancel on the server. Holder returns what is known of an instance. Requests without a lease are cancelled by a fresh owner only: to another one
// they may be the work of an owner that it doesn't know.
func (b *Backend) Sweep(now time.Time, holder func(name string) HolderStatus, fresh bool) []string {
	for _, l := range b.leases {
		if now.Before(l.Expires) {
			continue
		}
		if l.reported && !holder(l.Holder).gaveUp(now, l) {
			continue
		}
		b.dropLease(l)
		if l.reported {
			b.unleased[l.ID] = &unleasedRequest{pieces: l.Pieces, since: now, cancelAt: now}
		}
	}
	var cancels []string
	for id, s := range b.unleased {
		if fresh && !now.Before(s.cancelAt) {
			s.cancelAt = now.Add(cancelInterval)
			cancels = append(cancels, id)
		}
	}
	slices.Sort(cancels)
	return cancels
}

// untilFree estimates when pieces will be free, from the progress of the leases.
func (b *Backend) untilFree(now time.Time, pieces int64) time.Duration {
	missing := pieces - b.Free()
	best := retryCeiling
	for _, l := range b.leases {
		if l.doneTokens == 0 || l.Pieces < missing {
			continue
		}
		took := now.Sub(l.startsAt)
		left := time.Duration(float64(took) * float64(l.Tokens-l.doneTokens) / float64(l.doneTokens))
		best = min(best, left)
	}
	return best
}
