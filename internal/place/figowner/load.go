package figowner

import (
	"time"
)

// Load returns the load index of the server.
func (b *Book) Load(now time.Time, fresh bool) Load {
	l := Load{
		Server:          b.Server.Name,
		FreePieces:      b.Free(),
		TotalPieces:     b.Total(),
		QueueTokens:     b.InProgress(),
		TokensPerSecond: int64(b.Speed.Or(defaultSpeed)),
		LinkKilobytes:   int64(b.Link.Or(defaultLink) / 1000),
		Resident:        b.resident,
	}
	if b.Ramp.Cold() {
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
	Server, Pool, Role string
	// Free and Total are its engine memory, in pieces.
	Free, Total int64
	// Leases is the number of live leases, Strays of running requests without one.
	Leases, Strays int
	// InProgress is the tokens of work that isn't done.
	InProgress int64
	// RampLimit and RampFull bound it after a cold start.
	RampLimit, RampFull int64
	// Cold, Broken and Handover say what holds new work back.
	Cold, Broken, Handover bool
	// ReportAge is the time since the last report.
	ReportAge time.Duration
	// Fence is the last fencing number that the server has accepted.
	Fence uint64
}

// Status returns the state of the server.
func (b *Book) Status(now time.Time) Status {
	s := Status{
		Server:     b.Server.Name,
		Pool:       b.Server.Pool,
		Role:       b.Server.Role.String(),
		Free:       b.Free(),
		Total:      b.Total(),
		Leases:     b.Len(),
		Strays:     len(b.strays),
		InProgress: b.InProgress(),
		RampLimit:  b.Ramp.Limit,
		RampFull:   b.Ramp.Full,
		Cold:       b.coldStart(),
		Broken:     b.Breaker.Open(now),
		Handover:   b.handover(now),
	}
	if b.report != nil {
		s.ReportAge = now.Sub(b.reported)
		s.Fence = b.report.Fence
	}
	return s
}
