package figowner

import (
	"time"

	"figtrail.dev/figtrail/internal/config/figtree"
	"figtrail.dev/figtrail/internal/fleet/figview"
)

const (
	// LeaseTime is how long a lease lasts without renewal.
	LeaseTime = 4 * time.Second
	// ReleaseGrace is how long a released request may still be reported before
	// the owner cancels it; it covers the lag of reports.
	ReleaseGrace = time.Second
	// UnrenewedGrace is how long the holder of an expired lease may be heard again
	// without renewing it.
	RenewalGrace = 2 * time.Second
	// SilenceLimit is how long a running request stays when its holder is listed
	// but silent: the holder may be cut off from the owner and not from the server.
	SilenceLimit = 30 * time.Second
	// StrangerGrace is how long a running request without a lease stays; within
	// it every instance has told a new owner of its leases.
	UnleasedGrace = 10 * time.Second
	// HandoverTime is how long a new owner holds back, so that an earlier one
	// has noticed: longer than the freshness bound of the view.
	HandoverPeriod = 3 * time.Second
	// handoverShare divides the free memory that may be granted without showing in
	// a report when another owner may be granting too.
	handoverDivisor = 4
	// staleReport is the age of the last report from which a server that
	// reports gets no new work.
	maxReportAge = 3 * time.Second
	// defaultPlainCalls bounds the calls in progress on a plain server that
	// doesn't report its load.
	defaultPlainCalls = 64
	// defaultPieceTokens is the piece size where the pool declares none.
	defaultPieceTokens = 2048
	// defaultResultLife is the life of a result where the pool declares none.
	defaultResultLifetime = 500 * time.Millisecond
)

// Lease is one reservation on a server.
type Lease struct {
	// Number names it between owner and holder.
	Number uint64
	// ID is the request's ID, From the holder's name.
	ID, Holder string
	// Pieces, Tokens and Output are as asked.
	Pieces, Tokens, Output int64
	// Expires is when it ends unless renewed; Heard is the last word of its holder.
	Expires, LastRenewed time.Time

	startsAt time.Time
	// before is the work that was in progress when it was granted, in tokens.
	tokensAhead int64
	doneTokens  int64
	linkTime    time.Duration
	// suspect is when the holder was first heard again after the expiry.
	heardAfterExpiry time.Time
	reported         bool
}

// stray is a request that the server reports and that has no live lease.
type unleasedRequest struct {
	pieces   int64
	since    time.Time
	cancelAt time.Time
}

// ending is when a lease was released. Result says that it was a prefill whose
// result waits for its decode server; the server drops it by itself.
type releasedRequest struct {
	releasedAt  time.Time
	keepsResult bool
}

// Book holds the reservations of one backend server.
type Backend struct {
	// Server is the server as last listed.
	Server figview.Server
	// PieceTokens is the size of a piece of engine memory.
	PieceTokens int64
	// ResultLife is how long a prefill's result survives; half of it may be spent
	// waiting for the link.
	ResultLife time.Duration
	// Ramp bounds the work after a cold start.
	Ramp Ramp
	// Breaker keeps work away while the server fails.
	Breaker Breaker
	// Batch is the estimate of the decode step time, BetweenTokens its target.
	Batch         BatchModel
	BetweenTokens time.Duration
	// Fence forms the fencing numbers.
	Fence Fence
	// Speed and Link are the estimates of prefill speed and transfer rate.
	Speed, Link Estimate

	// reading is the fit of the time that a prompt takes by the tokens up to its end.
	prefillFit linearFit
	// tried counts the asks that might go to learn it.
	trialAttempts int

	ownedSince time.Time
	reportedAt time.Time
	report     *Report
	resident   []uint32
	// wanted is an adapter that a placed request needs and that isn't resident;
	// ordered is when the last one was ordered.
	missingAdapter   string
	adapterOrderedAt time.Time
	failedPolls      int
	refusalCounts    map[Refusal]int64
	// asks counts grants since the last report.
	grantsSinceReport int
	draining          bool
	// unproved says that the ramp is for lack of knowledge and not for a cold start.
	unverified bool
	// doubted is when a stream of the server was cut or fell silent, until a report
	// that is younger shows what has become of it.
	doubtedAt time.Time
	// probe is the last lease that was granted while the breaker was probing.
	probe *Lease
	// refused is set from the server's own refusal until its next report.
	serverRefused bool
	leases        map[uint64]*Lease
	byID          map[string]*Lease
	unleased      map[string]*unleasedRequest
	released      map[string]releasedRequest
	leasedPieces  int64
	leasedTokens  int64
	linkFreeAt    time.Time
	// strangers is prefill work that was reported and that no lease stands for;
	// most is the largest work of the leases since the last report and since the
	// one before it, which a report may show late.
	unleasedPrefillTokens int64
	peakTokens            [2]int64
	prefillSample         prefillSampler
	lastSteps             decodeSteps
}

// NewBook returns the book of a server gained at now. The pool may be nil.
func NewBackend(s figview.Server, p *figtree.Pool, now time.Time) *Backend {
	if p == nil {
		p = &figtree.Pool{}
	}
	return &Backend{
		Server:        s,
		PieceTokens:   orDefault(p.PieceTokens, defaultPieceTokens),
		ResultLife:    orDefault(p.ResultLife, defaultResultLifetime),
		BetweenTokens: p.BetweenTokens,
		ownedSince:    now,
		leases:        map[uint64]*Lease{},
		byID:          map[string]*Lease{},
		unleased:      map[string]*unleasedRequest{},
		released:      map[string]releasedRequest{},
		refusalCounts: map[Refusal]int64{},
	}
}

// orDefault returns v if it is positive, else standard.
func orDefault[T int64 | time.Duration](v, standard T) T {
	if v > 0 {
		return v
	}
	return standard
}

// Len returns the number of live leases.
func (b *Backend) Len() int { return len(b.leases) }

// Pieces returns the engine memory of all live leases and strays.
func (b *Backend) HeldPieces() int64 {
	n := b.leasedPieces
	for _, s := range b.unleased {
		n += s.pieces
	}
	return n
}

// InProgress returns the tokens of work on the server that isn't done.
func (b *Backend) InProgress() int64 {
	n := b.leasedTokens + b.unleasedPrefillTokens
	if b.Server.Role == figview.Prefill {
		return n
	}
	for _, s := range b.unleased {
		n += s.pieces * b.PieceTokens
	}
	return n
}

// Total returns the server's memory in pieces, and zero if it isn't known.
func (b *Backend) Total() int64 {
	if b.report == nil {
		return 0
	}
	return b.report.PiecesTotal
}

// Free returns the pieces that are neither leased nor held by strays.
func (b *Backend) Free() int64 {
	if b.report == nil {
		return 0
	}
	return max(0, b.report.PiecesTotal-b.HeldPieces()-b.unlistedPieces())
}

// foreign returns memory that the server reports as taken by nothing it lists.
func (b *Backend) unlistedPieces() int64 {
	held := int64(0)
	for _, r := range b.report.Running {
		held += r.Pieces
	}
	return max(0, b.report.PiecesTotal-b.report.PiecesFree-held)
}

// handover says whether an earlier owner may still be granting.
func (b *Backend) inHandover(now time.Time) bool { return now.Sub(b.ownedSince) < HandoverPeriod }

func (b *Backend) addLease(l *Lease) {
	b.leases[l.Number] = l
	b.byID[l.ID] = l
	b.leasedPieces += l.Pieces
	b.leasedTokens += l.Tokens
	b.peakTokens[0] = max(b.peakTokens[0], b.leasedTokens)
	delete(b.unleased, l.ID)
	delete(b.released, l.ID)
}

func (b *Backend) dropLease(l *Lease) {
	delete(b.leases, l.Number)
	delete(b.byID, l.ID)
	b.leasedPieces -= l.Pieces
	b.leasedTokens -= l.Tokens
}
