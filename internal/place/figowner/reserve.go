package figowner

import (
	"time"

	"figtrail.dev/figtrail/internal/fleet/figview"
)

const (
	// retryFloor and retryCeiling bound the advice on when to ask again.
	retryFloor   = 20 * time.Millisecond
	retryCeiling = 2 * time.Second
	// warmingRetry is the advice while a ramp or breaker holds work back.
	unavailableRetry = 500 * time.Millisecond
)

// Reserve grants or refuses a. The number is used for a new lease; an ask that
// repeats the ID of a live lease of the same holder gets that lease again. A
// fresh owner is one whose view is known to be the latest.
func (b *Backend) Reserve(now time.Time, number uint64, from string, a Ask, fresh bool) Grant {
	if l, ok := b.byID[a.ID]; ok && l.Holder == from {
		l.extend(now)
		return b.leaseGrant(now, l, a)
	}
	if b.Server.Role == figview.Plain {
		a.Tokens = 1
	}
	if !a.Held {
		if r, wait := b.refuse(now, a, fresh); r != Granted {
			b.refusalCounts[r]++
			return Grant{Refusal: r, RetryMillis: millis(min(max(wait, retryFloor), retryCeiling))}
		}
	}
	l := &Lease{
		Number: number, ID: a.ID, Holder: from,
		Pieces: a.Pieces, Tokens: a.Tokens, Output: a.Output,
		Expires: now.Add(LeaseTime), LastRenewed: now,
		startsAt:    now.Add(time.Duration(a.AfterMillis) * time.Millisecond),
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
		g.ReadyMillis = millis(b.prefillDuration(l.tokensAhead + a.Tokens))
	}
	return g
}

// refuse returns the reason against an ask, and when to ask again.
func (b *Backend) refuse(now time.Time, a Ask, fresh bool) (Refusal, time.Duration) {
	switch {
	case b.Breaker.IsOpen(now):
		return Broken, b.Breaker.RemainingOpenTime(now)
	case b.probeWait(now) > 0:
		return Broken, min(unavailableRetry, b.probeWait(now))
	case b.report == nil && b.Server.Role == figview.Plain:
		return b.refusePlain()
	case b.report == nil || now.Sub(b.reportedAt) > maxReportAge:
		return Broken, unavailableRetry
	case !b.doubtedAt.IsZero():
		// It may have started anew: its ramp is then not the one known here.
		return Broken, unavailableRetry
	case b.serverRefused && b.Len() > 0:
		return Full, unavailableRetry
	case b.coldStart() && (!fresh || b.inHandover(now)):
		return Warming, unavailableRetry
	case !b.Ramp.Allows(b.InProgress(), a.Tokens):
		return Warming, unavailableRetry
	case (!fresh || b.inHandover(now)) && b.exceedsHandoverShare(a):
		return Shared, unavailableRetry
	}
	if b.Server.Role == figview.Prefill {
		return b.refusePrefill(a)
	}
	return b.refuseMemory(now, a)
}

// probeWait returns how long the probe under way keeps other requests away. What
// was granted before the breaker opened is no probe: a call that hangs since then
// says nothing of the server's state now.
func (b *Backend) probeWait(now time.Time) time.Duration {
	if !b.Breaker.HalfOpen(now) || b.probe == nil || b.leases[b.probe.Number] != b.probe {
		return 0
	}
	return b.Breaker.ProbeWait(now)
}

// beyondShare says whether an ask goes beyond what may be granted while another
// owner may be granting too: a part of the free memory until the grants show in a
// report, which the other one sees as well. One request is always granted.
func (b *Backend) exceedsHandoverShare(a Ask) bool {
	if b.Server.Role != figview.Decode {
		return b.grantsSinceReport >= handoverGrants
	}
	unseen := int64(0)
	for _, l := range b.leases {
		if !l.reported {
			unseen += l.Pieces
		}
	}
	return unseen > 0 && unseen+a.Pieces > b.Free()/handoverDivisor
}

func (b *Backend) refusePlain() (Refusal, time.Duration) {
	if b.Len() >= defaultPlainCalls {
		return Full, retryFloor
	}
	return Granted, 0
}

func (b *Backend) refusePrefill(a Ask) (Refusal, time.Duration) {
	wait := b.prefillDuration(b.InProgress())
	most := time.Duration(a.MaxWaitMillis) * time.Millisecond
	if wait > most && !b.allowsTrial(b.Len()) {
		return Full, wait - most
	}
	return Granted, 0
}

func (b *Backend) refuseMemory(now time.Time, a Ask) (Refusal, time.Duration) {
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

// batchAt estimates the requests on a decode server when the asked one would join.
func (b *Backend) expectedBatch(now time.Time, a Ask) int {
	old := 0
	for _, l := range b.leases {
		if now.Sub(l.startsAt) > b.Batch.RequestLifetime/2 {
			old++
		}
	}
	return b.Len() - b.Batch.ExpectedExits(old, time.Duration(a.AfterMillis)*time.Millisecond)
}

// duration returns how long the server needs for tokens of prefill work.
func (b *Backend) prefillDuration(tokens int64) time.Duration {
	return seconds(float64(tokens) / b.PrefillSpeed())
}

// grant fills in what a live lease tells its holder.
func (b *Backend) leaseGrant(now time.Time, l *Lease, a Ask) Grant {
	g := Grant{Lease: l.Number}
	if b.Server.Role != figview.Decode || a.Bytes == 0 {
		return g
	}
	took := seconds(float64(a.Bytes) / b.Link.ValueOr(defaultLinkRate))
	latest := l.startsAt.Add(b.ResultLife / 2)
	g.DelayMillis = millis(max(0, b.linkFreeAt.Sub(latest)))
	if l.linkTime == 0 {
		l.linkTime = took
		b.linkFreeAt = laterOf(b.linkFreeAt, now).Add(took)
	}
	return g
}

// Renew extends a lease of holder from. It returns false if there is none.
func (b *Backend) Renew(now time.Time, number uint64, from string) bool {
	l, ok := b.leases[number]
	if !ok || l.Holder != from {
		return false
	}
	l.extend(now)
	return true
}

func (l *Lease) extend(now time.Time) {
	l.LastRenewed, l.Expires = now, now.Add(LeaseTime)
	l.heardAfterExpiry = time.Time{}
}

// Release ends a lease by number or, if that is zero, by ID. It does nothing if
// there is none, so that a release may be repeated. The memory of an abandoned
// request counts as taken until a later report doesn't list it.
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

// credit returns the work of a lease that the ramp hasn't been told of.
func (b *Backend) uncreditedWork(l *Lease) float64 {
	if b.Server.Role == figview.Plain {
		return 1.0 / callsPerRampStep
	}
	return float64(max(0, l.Tokens-l.doneTokens))
}

// freeLink takes back the link time of a request that has not used it.
func (b *Backend) releaseLink(l *Lease) {
	if !l.reported {
		b.linkFreeAt = b.linkFreeAt.Add(-l.linkTime)
	}
}

// Fail takes evidence against the server. A breaker that opens restarts the ramp.
func (b *Backend) RecordFailure(now time.Time, e Evidence) {
	b.serverRefused = b.serverRefused || e == Refused
	if e == Stalled || e == Unreachable {
		b.doubtedAt = now
	}
	if b.Breaker.RecordFailure(now, e) {
		b.restartRamp()
	}
}

func laterOf(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

// millis rounds up, so that a wait is never cut to nothing.
func millis(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}
