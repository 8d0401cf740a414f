package figowner

import (
	"slices"
	"time"

	"figtrail.dev/figtrail/internal/fleet/figview"
)

const (
	// initialRampCalls is the limit of calls in progress on a plain server at the start of a ramp.
	initialRampCalls = 2
	// callsPerRampStep is how many successful calls raise the ramp limit of a plain server by one.
	callsPerRampStep = 16
	// prefillFullSeconds sets the work in progress at which the ramp of a prefill server ends: what the
	// server prefills in this time.
	prefillFullSeconds = 2
	// warmDivisor sets the initial ramp limit, Full/warmDivisor, of a server that is new to this owner and
	// whose process is older than warmProcessAge. Decode step times are also sampled only above this
	// limit.
	warmDivisor = 2
	// cancelInterval is the minimum time between two cancels of the same request.
	cancelInterval = time.Second
	// failedPollLimit is how many polls in a row must fail to count as one Unreachable failure.
	failedPollLimit = 2
	// handoverGrants is the number of grants per report, while another owner may be granting, on prefill
	// and plain servers.
	handoverGrants = 2
)

// Observe applies a report that arrived at now. A changed process start time or slow decode steps
// restart the ramp.
func (b *Backend) Observe(now time.Time, r *Report) {
	first := b.report == nil
	restarted := !first && !r.StartedAt.Equal(b.report.StartedAt)
	writtenAt := now.Add(-r.Age)
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
	case b.measureDecode(r, writtenAt):
		b.restartRamp()
	}
	b.unleasedPrefillTokens = max(0, r.QueueTokens-max(b.peakTokens[0], b.peakTokens[1]))
	b.peakTokens = [2]int64{b.leasedTokens, b.peakTokens[0]}
	b.reconcile(writtenAt, now)
	b.grantsSinceReport = 0
	b.serverRefused = false
	if writtenAt.After(b.doubtedAt) {
		b.doubtedAt = time.Time{}
	}
}

// PollFailed records a failed poll.
func (b *Backend) PollFailed(now time.Time) {
	b.failedPolls++
	if b.failedPolls == failedPollLimit {
		b.failedPolls = 0
		b.RecordFailure(now, Unreachable)
	}
}

// startRamp sets the ramp after the first report that this owner gets. A process younger than
// warmProcessAge is in a cold start. An older one is expected to carry twice its present load or a
// part of its full load, whichever is more; the limit grows from there as the server completes work.
func (b *Backend) startRamp(now time.Time) {
	b.restartRamp()
	if now.Sub(b.report.StartedAt) < warmProcessAge {
		return
	}
	b.Ramp.AddProgress(float64(max(b.Ramp.Full/warmDivisor, 2*b.reportedWork())))
	b.unverified = true
}

// SetDraining records whether the server takes no new work, because the server or its data centre is
// being drained. When draining ends, the ramp restarts at its initial limit plus twice the load that
// the server still carries.
func (b *Backend) SetDraining(draining bool) {
	ended := b.draining && !draining
	b.draining = draining
	if !ended || b.report == nil {
		return
	}
	b.restartRamp()
	b.Ramp.AddProgress(float64(2 * b.reportedWork()))
	b.unverified = true
}

// coldStart returns whether the ramp is active because of a cold start, and not only because this
// owner has not seen the server carry more load.
func (b *Backend) coldStart() bool { return b.Ramp.Active() && !b.unverified }

// reportedWork returns the work that the last report shows: calls for a plain server, tokens for all
// others.
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

// forgetRequests discards the requests and link reservations of an earlier process of the server.
// Leases stay until they are released or expire.
func (b *Backend) forgetRequests() {
	clear(b.unleased)
	clear(b.released)
	b.linkFreeAt = time.Time{}
}

// restartRamp restarts the ramp at the initial limit for the server's role.
func (b *Backend) restartRamp() {
	b.unverified = false
	total := b.Total()
	switch b.Server.Role {
	case figview.Plain:
		b.Ramp.Restart(initialRampCalls, orDefault(total, maxUnreportedPlainCalls))
	case figview.Prefill:
		full := int64(prefillFullSeconds * b.Speed.ValueOr(defaultPrefillSpeed))
		b.Ramp.Restart(initialRampPieces*b.PieceTokens, full)
	default:
		b.Ramp.Restart(initialRampPieces*b.PieceTokens, total*b.PieceTokens)
	}
}

// reconcile compares the requests that the server reported at the time writtenAt with the live leases.
func (b *Backend) reconcile(writtenAt, now time.Time) {
	listed := make(map[string]bool, len(b.report.Running))
	for _, x := range b.report.Running {
		listed[x.ID] = true
		if l, ok := b.byID[x.ID]; ok {
			l.reported = true
			b.creditProgress(l, x.Tokens)
			continue
		}
		b.trackUnleased(x, writtenAt, now)
	}
	for id, s := range b.unleased {
		if !listed[id] && writtenAt.After(s.since) {
			delete(b.unleased, id)
		}
	}
	for id, e := range b.released {
		if !listed[id] && writtenAt.After(e.releasedAt) {
			delete(b.released, id)
		}
	}
}

// creditProgress adds the work that a lease has completed since the last report to the ramp, given the
// tokens generated so far.
func (b *Backend) creditProgress(l *Lease, tokens int64) {
	if l.OutputTokens <= 0 {
		return
	}
	done := min(l.Tokens, l.Tokens*tokens/l.OutputTokens)
	if done > l.doneTokens {
		b.Ramp.AddProgress(float64(done - l.doneTokens))
		l.doneTokens = done
	}
}

// trackUnleased records a running request that has no live lease, and sets when to cancel it. A report
// that is older than the release of the lease is ignored.
func (b *Backend) trackUnleased(x Running, writtenAt, now time.Time) {
	e, released := b.released[x.ID]
	if released && !writtenAt.After(e.releasedAt) {
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

// HolderStatus is the status of an instance that holds leases.
type HolderStatus struct {
	// Listed says whether the instance is on the published list.
	Listed bool
	// LastHeard is when the owner last received a request from the instance.
	LastHeard time.Time
}

// gaveUp returns whether the holder of an expired lease has given the lease up. That is so if the
// holder is no longer listed, has not renewed the lease for SilentHolderTimeout, or has sent messages
// since the expiry and not renewed the lease within RenewalGrace.
func (h HolderStatus) gaveUp(now time.Time, l *Lease) bool {
	if !h.Listed || now.Sub(l.LastRenewed) >= SilentHolderTimeout {
		return true
	}
	if !h.LastHeard.After(l.Expires) {
		return false
	}
	if l.messageAfterExpiry.IsZero() {
		l.messageAfterExpiry = now
	}
	return now.Sub(l.messageAfterExpiry) >= RenewalGrace && h.LastHeard.After(l.messageAfterExpiry)
}

// Sweep ends the expired leases and returns the IDs of requests to cancel on the server. A lease whose
// request the server has reported ends only when its holder has given it up. The function holder
// returns the status of an instance. If fresh is false, no request is cancelled, because an unleased
// request may belong to an owner under a newer view.
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

// untilFree estimates the time until enough pieces are free, from the progress of the leases that hold
// at least the missing amount. It is maxRetryDelay at most.
func (b *Backend) untilFree(now time.Time, pieces int64) time.Duration {
	missing := pieces - b.Free()
	wait := maxRetryDelay
	for _, l := range b.leases {
		if l.doneTokens == 0 || l.Pieces < missing {
			continue
		}
		elapsed := now.Sub(l.startsAt)
		remaining := time.Duration(float64(elapsed) * float64(l.Tokens-l.doneTokens) / float64(l.doneTokens))
		wait = min(wait, remaining)
	}
	return wait
}
