package figowner

import (
	"maps"
	"time"

	"figtrail.dev/figtrail/internal/core/figtimer"
)

// Load returns the load index of the server. The argument fresh says whether the owner's view is known
// to be the latest.
func (b *Backend) Load(now time.Time, fresh bool) Load {
	l := Load{
		Server:                 b.Server.Name,
		FreePieces:             b.Free(),
		TotalPieces:            b.Total(),
		QueueTokens:            b.InProgress(),
		TokensPerSecond:        int64(b.PrefillSpeed()),
		LinkKilobytesPerSecond: int64(b.Link.ValueOr(defaultLinkRate) / 1000),
		ResidentHashes:         b.resident,
		AcceptsAnyWait:         b.learningPrefill() && b.Len() < maxTrialPrompts,
	}
	if b.Ramp.Active() {
		l.FreePieces = min(l.FreePieces, max(0, b.Ramp.Limit-l.QueueTokens)/b.PieceTokens)
	}
	// A reservation of size zero that accepts a long queue is refused only if every reservation would be.
	r, _ := b.refuse(now, ReservationRequest{MaxWaitMillis: millis(time.Minute)}, fresh)
	l.RefusesAll = r != Granted
	return l
}

// Status is the state of one owned server, for operators.
type Status struct {
	// Server is the name of the server, Pool the name of its pool and Role its role in the pool.
	Server string `json:"server"`
	Pool   string `json:"pool"`
	Role   string `json:"role"`
	// Free and Total are the server's free and total memory, in pieces.
	Free  int64 `json:"free"`
	Total int64 `json:"total"`
	// Leases is the number of live leases. Strays is the number of requests without a live lease.
	Leases int `json:"leases"`
	Strays int `json:"strays"`
	// InProgress is the unfinished work: calls on a plain server, tokens on all others.
	InProgress int64 `json:"inProgress"`
	// RampLimit is the present limit of InProgress after a cold start. RampFull is the value of RampLimit
	// at which the ramp ends.
	RampLimit int64 `json:"rampLimit"`
	RampFull  int64 `json:"rampFull"`
	// TokensPerSecond is the estimated prefill speed.
	TokensPerSecond int64 `json:"tokensPerSecond"`
	// Cold, Broken, Doubted and Handover are the conditions that limit or stop new work: a cold start, an
	// open circuit breaker, a stream or connection failure without a report since, and a recent change of
	// the owner.
	Cold     bool `json:"cold"`
	Broken   bool `json:"broken"`
	Doubted  bool `json:"doubted"`
	Handover bool `json:"handover"`
	// Refused counts the refused reservations by reason, since this instance became the owner.
	Refused map[Outcome]int64 `json:"refused"`
	// ReportAgeMillis is the time since the last report, in milliseconds, or -1 before the first report.
	ReportAgeMillis int64 `json:"reportAgeMillis"`
	// Fence is the highest fencing number that the server has accepted, according to its last report.
	Fence uint64 `json:"fence"`
}

// Status returns the state of the server.
func (b *Backend) Status(now time.Time) Status {
	s := Status{
		Server:     b.Server.Name,
		Pool:       b.Server.Pool,
		Role:       b.Server.Role.String(),
		Free:       b.Free(),
		Total:      b.Total(),
		Leases:     b.Len(),
		Strays:     len(b.unleased),
		InProgress: b.InProgress(),
		RampLimit:  b.Ramp.Limit,
		RampFull:   b.Ramp.Full,
		Cold:       b.coldStart(),
		Broken:     b.Breaker.IsOpen(now),
		Doubted:    !b.doubtedAt.IsZero(),
		Handover:   b.inHandover(now),
		Refused:    maps.Clone(b.refusalCounts),

		TokensPerSecond: int64(b.PrefillSpeed()),

		ReportAgeMillis: -1,
	}
	if b.report != nil {
		s.ReportAgeMillis = figtimer.Millis(now.Sub(b.reportedAt))
		s.Fence = b.report.Fence
	}
	return s
}
