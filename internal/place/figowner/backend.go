package figowner

import (
	"time"

	"figtrail.dev/figtrail/internal/config/figtree"
	"figtrail.dev/figtrail/internal/fleet/figview"
)

const (
	// LeaseDuration is how long a lease lasts without renewal.
	LeaseDuration = 4 * time.Second
	// ReleaseGrace is how long the server may still report a released request before the owner cancels it.
	// It covers the delay of reports.
	ReleaseGrace = time.Second
	// RenewalGrace is how long the holder of an expired lease may send messages again without renewing the
	// lease.
	RenewalGrace = 2 * time.Second
	// SilentHolderTimeout is how long after the last renewal of its lease a running request continues while
	// its holder is listed but sends no messages. The holder may be partitioned from the owner but not from
	// the server.
	SilentHolderTimeout = 30 * time.Second
	// UnleasedGrace is how long a running request without a lease continues. Within this time every
	// instance has registered its leases with a new owner.
	UnleasedGrace = 10 * time.Second
	// HandoverPeriod is how long a new owner limits its grants, so that the earlier owner has time to
	// notice the change. It is longer than the freshness bound of the view.
	HandoverPeriod = 3 * time.Second
	// handoverDivisor sets the part of the free memory, 1/handoverDivisor, that may be granted but not yet
	// reported while another owner may be granting too.
	handoverDivisor = 4
	// maxReportAge is the age of the last report above which a server that reports gets no new work.
	maxReportAge = 3 * time.Second
	// maxUnreportedPlainCalls limits the concurrent calls on a plain server that doesn't report its load.
	maxUnreportedPlainCalls = 64
	// defaultPieceTokens is the size of one piece (block) of KV cache memory in tokens, if the pool
	// declares no size.
	defaultPieceTokens = 2048
	// defaultResultLifetime is how long a server keeps a prefill result if the pool declares no lifetime.
	defaultResultLifetime = 500 * time.Millisecond
)

// Lease is one reservation on a server. It covers one request of one instance.
type Lease struct {
	// Number identifies the lease in messages between the owner and the holder.
	Number uint64
	// ID is the request's ID. Holder is the name of the instance that holds the lease.
	ID, Holder string
	// Pieces, Tokens and OutputTokens are the values of the reservation request.
	Pieces, Tokens, OutputTokens int64
	// Expires is when the lease ends unless it is renewed. LastRenewed is when the lease was granted or
	// last renewed.
	Expires, LastRenewed time.Time

	// startsAt is when the request was expected to reach the server.
	startsAt time.Time
	// tokensAhead is the work, in tokens, that was in progress on the server when the lease was granted.
	tokensAhead int64
	// doneTokens is the part of Tokens that the ramp has been credited with.
	doneTokens int64
	// linkTime is the time reserved on the transfer link.
	linkTime time.Duration
	// messageAfterExpiry is when the owner first noticed a message that the holder sent after the lease
	// expired. It is zero if there was none.
	messageAfterExpiry time.Time
	// reported is set once the server has reported the request.
	reported bool
}

// unleasedRequest is a request that the server reports, or may still run, without a live lease.
type unleasedRequest struct {
	pieces   int64
	since    time.Time
	cancelAt time.Time
}

// releasedRequest records when a lease was released. If keepsResult is set, the request was a prefill
// whose result the decode server has yet to fetch; the prefill server discards the result when it expires.
type releasedRequest struct {
	releasedAt  time.Time
	keepsResult bool
}

// Backend holds the reservations and estimates of one backend server. It is not safe for concurrent
// use.
type Backend struct {
	// Server is the entry of the server in the last published list.
	Server figview.Server
	// PieceTokens is the number of tokens in one piece of KV cache memory.
	PieceTokens int64
	// ResultLife is how long a server keeps a prefill result. A result may wait for the transfer link for
	// up to half of it.
	ResultLife time.Duration
	// Ramp limits the work in progress after a cold start.
	Ramp Ramp
	// Breaker is the circuit breaker of the server.
	Breaker Breaker
	// Batch estimates the decode step time. BetweenTokens is the target for it, or zero for none.
	Batch         BatchModel
	BetweenTokens time.Duration
	// Fence generates the fencing numbers of orders.
	Fence Fence
	// Speed estimates the prefill speed in tokens per second, Link the KV cache transfer rate in bytes per
	// second.
	Speed, Link Estimate

	// prefillFit fits the duration of a prefill, in seconds, to the tokens in progress on the server when
	// the prefill was granted plus its own prompt tokens.
	prefillFit linearFit
	// trialAttempts counts the calls of allowsTrial while prefillFit has no slope yet.
	trialAttempts int

	ownedSince time.Time
	reportedAt time.Time
	report     *Report
	resident   []uint32
	// missingAdapter is an adapter that a granted request needs and that the server has not loaded.
	// adapterOrderedAt is when the owner last ordered the server to load an adapter.
	missingAdapter   string
	adapterOrderedAt time.Time
	failedPolls      int
	refusalCounts    map[Outcome]int64
	// grantsSinceReport counts the grants since the last report.
	grantsSinceReport int
	draining          bool
	// unverified is set while the ramp is active only because this owner has not seen the server carry
	// more load, not because of a cold start.
	unverified bool
	// doubtedAt is when a connection to the server or one of its streams last failed. It is reset by a
	// report that the server wrote after that time, because only such a report shows whether the server
	// has restarted.
	doubtedAt time.Time
	// probe is the last lease that was granted while the breaker was half-open.
	probe *Lease
	// serverRefused is set when the server itself refuses a request, until its next report.
	serverRefused bool
	leases        map[uint64]*Lease
	byID          map[string]*Lease
	unleased      map[string]*unleasedRequest
	released      map[string]releasedRequest
	leasedPieces  int64
	leasedTokens  int64
	// linkFreeAt is when the last reserved transfer is expected to end.
	linkFreeAt time.Time
	// unleasedPrefillTokens is the reported prefill work that no lease accounts for. peakTokens holds the
	// largest total of leased tokens since the last report and between the last two reports; a late report
	// may still show the earlier peak.
	unleasedPrefillTokens int64
	peakTokens            [2]int64
	prefillSample         prefillSampler
	lastSteps             decodeSteps
}

// NewBackend returns the state of a server that this instance owns from now on. The pool may be nil;
// defaults apply then.
func NewBackend(s figview.Server, p *figtree.Pool, now time.Time) *Backend {
	if p == nil {
		p = &figtree.Pool{}
	}
	return &Backend{
		Server:        s,
		PieceTokens:   orDefault(p.BlockTokens, defaultPieceTokens),
		ResultLife:    orDefault(p.PrefillResultTTL, defaultResultLifetime),
		BetweenTokens: p.InterTokenTarget,
		ownedSince:    now,
		leases:        map[uint64]*Lease{},
		byID:          map[string]*Lease{},
		unleased:      map[string]*unleasedRequest{},
		released:      map[string]releasedRequest{},
		refusalCounts: map[Outcome]int64{},
	}
}

// orDefault returns v if it is positive, otherwise standard.
func orDefault[T int64 | time.Duration](v, standard T) T {
	if v > 0 {
		return v
	}
	return standard
}

// Len returns the number of live leases.
func (b *Backend) Len() int { return len(b.leases) }

// HeldPieces returns the memory of all live leases and unleased requests.
func (b *Backend) HeldPieces() int64 {
	n := b.leasedPieces
	for _, s := range b.unleased {
		n += s.pieces
	}
	return n
}

// InProgress returns the unfinished work on the server: calls on a plain server, tokens on all others.
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

// Total returns the server's memory in pieces, or zero before the first report.
func (b *Backend) Total() int64 {
	if b.report == nil {
		return 0
	}
	return b.report.PiecesTotal
}

// Free returns the pieces that no lease, unleased request or unlisted use occupies. It is zero before
// the first report.
func (b *Backend) Free() int64 {
	if b.report == nil {
		return 0
	}
	return max(0, b.report.PiecesTotal-b.HeldPieces()-b.unlistedPieces())
}

// unlistedPieces returns the pieces that the server reports as used but assigns to no listed request.
func (b *Backend) unlistedPieces() int64 {
	listed := int64(0)
	for _, r := range b.report.Running {
		listed += r.Pieces
	}
	return max(0, b.report.PiecesTotal-b.report.PiecesFree-listed)
}

// inHandover returns whether an earlier owner may still be granting reservations.
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
