package figplace

import (
	"time"

	"figtrail.dev/figtrail/internal/fleet/figview"
	"figtrail.dev/figtrail/internal/place/figowner"
)

const (
	// rowLife is how long a load index is believed.
	rowLife = 2 * time.Second
	// closedLife is how long a server stays out after its owner said so.
	closedLife = 300 * time.Millisecond
	// ownerPause is how long an owner that didn't answer is left alone.
	ownerPause = 500 * time.Millisecond
	// failurePause is how long this instance leaves a failed server alone.
	failurePause = time.Second
)

// row is what this instance knows of one server.
type row struct {
	load figowner.Load
	at   time.Time
	// freed is the memory that was released here since the load index came.
	freed int64
	// failed is when a request of this instance last failed there.
	failed time.Time
	// shut is until when the server gets nothing from here.
	shut time.Time
	// full is the least number of pieces that was refused, and until when.
	full      int64
	fullUntil time.Time
}

// table holds what this instance knows of servers and owners. The Placer's mutex
// guards it.
type table struct {
	rows   map[string]*row
	owners map[string]time.Time
}

func newTable() *table {
	return &table{rows: map[string]*row{}, owners: map[string]time.Time{}}
}

func (t *table) row(server string) *row {
	r, ok := t.rows[server]
	if !ok {
		r = &row{}
		t.rows[server] = r
	}
	return r
}

// learn takes the load indexes of a reply.
func (t *table) learn(now time.Time, loads []figowner.Load) {
	for _, l := range loads {
		r := t.row(l.Server)
		r.load, r.at = l, now
		r.freed = 0
		if l.Closed {
			r.shut = later(r.shut, now.Add(closedLife))
		}
	}
}

// known says whether the load index is recent enough to be believed.
func (r *row) known(now time.Time) bool { return !r.at.IsZero() && now.Sub(r.at) < rowLife }

// free returns the estimated free pieces.
func (r *row) free() int64 { return min(r.load.TotalPieces, r.load.FreePieces+r.freed) }

// queue returns the estimated prefill work left, in tokens.
func (r *row) queue(now time.Time) int64 {
	worked := int64(now.Sub(r.at).Seconds() * float64(r.load.TokensPerSecond))
	return max(0, r.load.QueueTokens-worked)
}

// silent notes that an owner didn't answer.
func (t *table) silent(now time.Time, owner string) { t.owners[owner] = now.Add(ownerPause) }

// reachable says whether an owner may be asked.
func (t *table) reachable(now time.Time, owner string) bool {
	return !now.Before(t.owners[owner])
}

// prune drops what is no longer listed.
func (t *table) prune(v *figview.View, s *figview.Servers) {
	listed := make(map[string]bool, len(s.All))
	for _, x := range s.All {
		listed[x.Name] = true
	}
	for n := range t.rows {
		if !listed[n] {
			delete(t.rows, n)
		}
	}
	for n := range t.owners {
		if _, ok := v.Find(n); !ok {
			delete(t.owners, n)
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}
