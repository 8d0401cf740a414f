package figowner

import (
	"maps"
	"time"

	"figtrail.dev/figtrail/internal/core/figtimer"
)

// Load returns the load index of the server.
func (b *Backend) Load(now time.Time, fresh bool) Load {
	l := Load{
		Server:          b.Server.Name,
		FreePieces:      b.Free(),
		TotalPieces:     b.Total(),
		QueueTokens:     b.InProgress(),
		TokensPerSecond: int64(b.PrefillSpeed()),
		LinkKilobytes:   int64(b.Link.ValueOr(defaultLinkRate) / 1000),
		Resident:        b.resident,
		Short:           b.learningPrefill() && b.Len() < maxTrialPrompts,
	}
	if b.Ramp.Active() {
		l.FreePieces = min(l.FreePieces, max(0, b.Ramp.Limit-l.QueueTokens)/b.PieceTokens)
	}
	// An ask that waits for nothing shows whether the server is open at all.
	r, _ := b.refuse(now, Ask{MaxWaitMillis: millis(time.Minute)}, fresh)
	l.Closed = r != Granted
	return l
}

// Status is the state of one owned server, for operators.
type Status struct {
	// Server is the name of the server, Pool its pool, Role what it does there.
	Server string `json:"server"`
	Pool   string `json:"pool"`
	Role   string `json:"role"`
	// Free and Total are its engine memory, in pieces.
	Free  int64 `json:"free"`
	Total int64 `json:"total"`
	// Leases is the number of live leases, Strays of running requests without one.
	Leases int `json:"leases"`
	Strays int `json:"strays"`
	// InProgress is the tokens of work that isn't done.
	InProgress int64 `json:"inProgress"`
	// RampLimit and RampFull bound it after a cold start.
	RampLimit int64 `json:"rampLimit"`
	RampFull  int64 `json:"rampFull"`
	// TokensPerSecond is the estimated prefill speed.
	TokensPerSecond int64 `json:"tokensPerSecond"`
	// Cold, Broken, Doubted and Handover say what holds new work back.
	Cold     bool `json:"cold"`
	Broken   bool `json:"broken"`
	Doubted  bool `json:"doubted"`
	Handover bool `json:"handover"`
	// Refused counts the asks that were refused since the instance gained the server.
	Refused map[Refusal]int64 `json:"refused"`
	// ReportAgeMillis is the time since the last report, in milliseconds; -1 for never.
	ReportAgeMillis int64 `json:"reportAgeMillis"`
	// Fence is the last fencing number that the server has accepted.
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
