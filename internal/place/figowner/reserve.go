package figowner

import (
	"time"

	"figtrail.dev/figtrail/internal/fleet/figview"
)

const (
	// minRetryDelay and maxRetryDelay limit the retry delay that a refusal suggests.
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = 2 * time.Second
	// defaultRetryDelay is the suggested retry delay where the owner can't compute one: during a ramp, a
	// breaker probe or a handover, without a recent report, or after a refusal by the server itself.
	defaultRetryDelay = 500 * time.Millisecond
)

// Reserve grants or refuses a reservation to the instance from. A new lease gets the given number. If
// the instance already has a live lease for the request's ID, that lease is renewed and returned, so
// that a request may be repeated. A request that is AlreadyRunning is always granted. The argument
// fresh says whether the owner's view is known to be the latest.
func (b *Backend) Reserve(now time.Time, number uint64, from string, a ReservationRequest, fresh bool) ReservationResult {
	if l, ok := b.byID[a.ID]; ok && l.Holder == from {
		l.extend(now)
		return b.leaseGrant(now, l, a)
	}
	if b.Server.Role == figview.Plain {
		a.Tokens = 1
	}
	if !a.AlreadyRunning {
		if r, wait := b.refuse(now, a, fresh); r != Granted {
			b.refusalCounts[r]++
			return ReservationResult{Outcome: r, RetryMillis: millis(min(max(wait, minRetryDelay), maxRetryDelay))}
		}
	}
	l := &Lease{
		Number: number, ID: a.ID, Holder: from,
		Pieces: a.Pieces, Tokens: a.Tokens, OutputTokens: a.OutputTokens,
		Expires: now.Add(LeaseDuration), LastRenewed: now,
		startsAt:    now.Add(time.Duration(a.StartDelayMillis) * time.Millisecond),
		tokensAhead: b.InProgress(),
	}
	b.noteAdapter(a.Adapter)
	b.addLease(l)
	if b.Breaker.HalfOpen(now) {
		b.Breaker.ProbeGranted(now)
		b.probe = l
	}
	b.grantsSinceReport++
	g := b.leaseGrant(now, l, a)
	if b.Server.Role == figview.Prefill {
		g.PrefillDoneMillis = millis(b.prefillDuration(l.tokensAhead + a.Tokens))
	}
	return g
}

// refuse returns the reason to refuse a reservation and the suggested retry delay, or Granted.
func (b *Backend) refuse(now time.Time, a ReservationRequest, fresh bool) (Outcome, time.Duration) {
	switch {
	case b.Breaker.IsOpen(now):
		return Unavailable, b.Breaker.RemainingOpenTime(now)
	case b.probeWait(now) > 0:
		return Unavailable, min(defaultRetryDelay, b.probeWait(now))
	case b.report == nil && b.Server.Role == figview.Plain:
		return b.refusePlain()
	case b.report == nil || now.Sub(b.reportedAt) > maxReportAge:
		return Unavailable, defaultRetryDelay
	case !b.doubtedAt.IsZero():
		// The server may have restarted; Ramp would then be that of the earlier process.
		return Unavailable, defaultRetryDelay
	case b.serverRefused && b.Len() > 0:
		return Full, defaultRetryDelay
	case b.coldStart() && (!fresh || b.inHandover(now)):
		return Warming, defaultRetryDelay
	case !b.Ramp.Allows(b.InProgress(), a.Tokens):
		return Warming, defaultRetryDelay
	case (!fresh || b.inHandover(now)) && b.exceedsHandoverShare(a):
		return HandoverLimited, defaultRetryDelay
	}
	if b.Server.Role == figview.Prefill {
		return b.refusePrefill(a)
	}
	return b.refuseMemory(now, a)
}

// probeWait returns how long the current probe keeps other requests from the server, or zero if there
// is none. A call that was granted before the breaker opened is not a probe: if it hangs, it says
// nothing about the present state of the server.
func (b *Backend) probeWait(now time.Time) time.Duration {
	if !b.Breaker.HalfOpen(now) || b.probe == nil || b.leases[b.probe.Number] != b.probe {
		return 0
	}
	return b.Breaker.ProbeWait(now)
}

// exceedsHandoverShare returns whether a reservation exceeds the part of the free memory that may be
// granted, but not yet reported, while another owner may be granting too. Once the server reports a
// granted request, both owners see it. On a decode server one unreported request is always allowed. On
// all other servers the number of grants per report is limited instead.
func (b *Backend) exceedsHandoverShare(a ReservationRequest) bool {
	if b.Server.Role != figview.Decode {
		return b.grantsSinceReport >= handoverGrants
	}
	unreported := int64(0)
	for _, l := range b.leases {
		if !l.reported {
			unreported += l.Pieces
		}
	}
	return unreported > 0 && unreported+a.Pieces > b.Free()/handoverDivisor
}

func (b *Backend) refusePlain() (Outcome, time.Duration) {
	if b.Len() >= maxUnreportedPlainCalls {
		return Full, minRetryDelay
	}
	return Granted, 0
}

func (b *Backend) refusePrefill(a ReservationRequest) (Outcome, time.Duration) {
	wait := b.prefillDuration(b.InProgress())
	maxWait := time.Duration(a.MaxWaitMillis) * time.Millisecond
	if wait > maxWait && !b.allowsTrial(b.Len()) {
		return Full, wait - maxWait
	}
	return Granted, 0
}

func (b *Backend) refuseMemory(now time.Time, a ReservationRequest) (Outcome, time.Duration) {
	if b.report.PiecesTotal == 0 {
		return b.refusePlain()
	}
	if !b.Batch.Allows(b.expectedBatch(now, a)+1, b.BetweenTokens) {
		return Full, b.untilFree(now, 1)
	}
	if a.Pieces > b.Free() {
		return Full, b.untilFree(now, a.Pieces)
	}
	return Granted, 0
}

// expectedBatch estimates the number of requests on a decode server at the time when the new request
// would start there.
func (b *Backend) expectedBatch(now time.Time, a ReservationRequest) int {
	old := 0
	for _, l := range b.leases {
		if now.Sub(l.startsAt) > b.Batch.RequestLifetime/2 {
			old++
		}
	}
	return b.Len() - b.Batch.ExpectedExits(old, time.Duration(a.StartDelayMillis)*time.Millisecond)
}

// prefillDuration returns how long the server needs to prefill the given number of tokens.
func (b *Backend) prefillDuration(tokens int64) time.Duration {
	return seconds(float64(tokens) / b.PrefillSpeed())
}

// leaseGrant returns the result for a live lease. On a decode server it also reserves time on the
// transfer link, once per lease.
func (b *Backend) leaseGrant(now time.Time, l *Lease, a ReservationRequest) ReservationResult {
	g := ReservationResult{Lease: l.Number}
	if b.Server.Role != figview.Decode || a.TransferBytes == 0 {
		return g
	}
	transferTime := seconds(float64(a.TransferBytes) / b.Link.ValueOr(defaultLinkRate))
	latest := l.startsAt.Add(b.ResultLife / 2)
	g.PrefillDelayMillis = millis(max(0, b.linkFreeAt.Sub(latest)))
	if l.linkTime == 0 {
		l.linkTime = transferTime
		b.linkFreeAt = laterOf(b.linkFreeAt, now).Add(transferTime)
	}
	return g
}

// Renew extends a lease of the instance from. It returns false if that instance has no such lease.
func (b *Backend) Renew(now time.Time, number uint64, from string) bool {
	l, ok := b.leases[number]
	if !ok || l.Holder != from {
		return false
	}
	l.extend(now)
	return true
}

func (l *Lease) extend(now time.Time) {
	l.LastRenewed, l.Expires = now, now.Add(LeaseDuration)
	l.messageAfterExpiry = time.Time{}
}

// Release ends a lease of the instance from, found by number or, if the number is zero, by request ID.
// An unknown lease is ignored, so that a release may be repeated. The memory of an abandoned request
// counts as used until a later report doesn't list the request.
func (b *Backend) Release(now time.Time, from string, r Release) {
	l := b.leases[r.Lease]
	if r.Lease == 0 {
		l = b.byID[r.ID]
	}
	if l == nil || l.Holder != from {
		return
	}
	b.dropLease(l)
	if r.Abandoned && b.report != nil {
		b.unleased[l.ID] = &unleasedRequest{pieces: l.Pieces, since: now, cancelAt: now.Add(ReleaseGrace)}
	}
	b.released[l.ID] = releasedRequest{releasedAt: now, keepsResult: b.Server.Role == figview.Prefill && r.Tokens > 0}
	if r.Tokens <= 0 {
		b.releaseLink(l)
		return
	}
	b.Breaker.RecordSuccess(now)
	b.Batch.RequestEnded(now.Sub(l.startsAt))
	b.Ramp.AddProgress(b.uncreditedWork(l))
	if b.Server.Role == figview.Prefill {
		b.measurePrefill(now, l, r)
	}
}

// uncreditedWork returns the work of a lease that has not been added to the ramp yet.
func (b *Backend) uncreditedWork(l *Lease) float64 {
	if b.Server.Role == figview.Plain {
		return 1.0 / callsPerRampStep
	}
	return float64(max(0, l.Tokens-l.doneTokens))
}

// releaseLink returns the reserved link time of a request that never ran on the server.
func (b *Backend) releaseLink(l *Lease) {
	if !l.reported {
		b.linkFreeAt = b.linkFreeAt.Add(-l.linkTime)
	}
}

// RecordFailure records a failure of the server. The ramp restarts if the failure opens the breaker.
func (b *Backend) RecordFailure(now time.Time, k FailureKind) {
	b.serverRefused = b.serverRefused || k == Refused
	if k == StreamFailed || k == Unreachable {
		b.doubtedAt = now
	}
	if b.Breaker.RecordFailure(now, k) {
		b.restartRamp()
	}
}

func laterOf(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

// millis rounds up, so that a positive wait never becomes zero.
func millis(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}
