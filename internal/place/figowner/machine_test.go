package figowner

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"figtrail.dev/figtrail/internal/config/figtree"
	"figtrail.dev/figtrail/internal/fleet/figview"
)

const (
	machinePieces = 24
	machineTick   = 250 * time.Millisecond
	// listLag is how long the published list takes to show that an instance is gone.
	listLag = 5 * time.Second
	// holderGone bounds the time from the end of a holder to free memory: until it
	// is off the list, the end of its lease, a report and a cancel.
	holderGone = listLag + LeaseTime + 3*time.Second
	// releaseGone bounds it for a release that the owner hears.
	releaseGone = ReleaseGrace + 3*time.Second
	// silentGone bounds it for a listed holder that isn't heard any more.
	silentGone = SilenceLimit + 3*time.Second
	// handoverReports is how many reports a grant can be missing from.
	handoverReports = 2
	// leaseGone bounds it for a holder that lives and whose release was lost.
	leaseGone = LeaseTime + UnrenewedGrace + 3*time.Second
	// strangerGone bounds it for a request that no lease is known for.
	strangerGone = StrangerGrace + 3*time.Second
)

// job is a request of an instance of the model.
type job struct {
	id, from string
	pieces   int64
	lease    uint64
	owner    *Book
	running  bool
}

// machine is one decode server, its owners and some instances. The server is the
// worst that is allowed: it doesn't notice when a connection goes, and it can be
// deaf to cancels for a while.
type machine struct {
	now     time.Time
	book    *Book
	old     *Book
	next    uint64
	jobs    map[string]*job
	engine  map[string]int64
	started time.Time
	dead    map[string]time.Time
	heard   map[string]time.Time
	deaf    bool
	agree   bool
	// speed is the tokens a second of one request, tokens what each has generated.
	speed  float64
	tokens map[string]float64
	// stale makes instances go on with the old owner.
	stale  bool
	report [2]*Report
}

func newMachine() *machine {
	m := &machine{
		now: testStart, jobs: map[string]*job{}, engine: map[string]int64{}, tokens: map[string]float64{}, agree: true,
		dead: map[string]time.Time{}, heard: map[string]time.Time{}, started: testStart.Add(-time.Hour),
	}
	m.book = m.newBook()
	for range 16 {
		m.tick()
	}
	return m
}

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func (m *machine) newBook() *Book {
	s := figview.Server{Name: "d", Role: figview.Decode}
	return NewBook(s, &figtree.Pool{PieceTokens: 2048}, m.now)
}

// engineReport is what the server reports now.
func (m *machine) engineReport() *Report {
	r := &Report{StartedAt: m.started, Age: machineTick, PiecesTotal: machinePieces}
	held := int64(0)
	for _, id := range sortedKeys(m.engine) {
		held += m.engine[id]
		r.Running = append(r.Running, Running{ID: id, Pieces: m.engine[id], Tokens: 1 + int64(m.tokens[id])})
	}
	r.PiecesFree = machinePieces - held
	return r
}

func sortedKeys[V any](x map[string]V) []string {
	keys := make([]string, 0, len(x))
	for k := range x {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// tick passes one interval: instances renew, the owners see a late report and
// cancel what is left over.
func (m *machine) tick() {
	m.now = m.now.Add(machineTick)
	for id := range m.engine {
		m.tokens[id] += m.speed * machineTick.Seconds()
	}
	m.report[0], m.report[1] = m.report[1], m.engineReport()
	for _, id := range sortedKeys(m.jobs) {
		m.renew(m.jobs[id])
	}
	for _, b := range []*Book{m.book, m.old} {
		if b == nil || m.report[0] == nil {
			continue
		}
		b.Observe(m.now, m.report[0])
		for _, id := range b.Sweep(m.now, m.holder, b == m.book) {
			if !m.deaf {
				delete(m.engine, id)
			}
		}
	}
}

// renew extends the lease of a job, or tells a new owner of it.
func (m *machine) renew(j *job) {
	if _, dead := m.dead[j.from]; dead {
		delete(m.jobs, j.id)
		return
	}
	m.heard[j.from] = m.now
	if (j.owner == m.book || m.stale) && j.owner.Renew(m.now, j.lease, j.from) {
		return
	}
	m.next++
	g := m.book.Reserve(m.now, m.next, j.from, Ask{ID: j.id, Pieces: j.pieces, Tokens: j.pieces * 2048, Held: true}, true)
	j.lease, j.owner = g.Lease, m.book
}

func (m *machine) holder(name string) Holder {
	at, dead := m.dead[name]
	return Holder{Listed: !dead || m.now.Sub(at) < listLag, Heard: m.heard[name]}
}

// place asks an owner for room.
func (m *machine) place(b *Book, from string, pieces int64) *job {
	return m.placeAs(b, from, pieces, true)
}

// placeAs is place with an owner whose view is fresh or not.
func (m *machine) placeAs(b *Book, from string, pieces int64, fresh bool) *job {
	m.next++
	j := &job{id: fmt.Sprint("r", m.next), from: from, pieces: pieces, owner: b}
	g := b.Reserve(m.now, m.next, from, Ask{ID: j.id, Pieces: pieces, Tokens: pieces * 2048, Output: 100}, fresh)
	m.heard[from] = m.now
	if g.Refusal != Granted {
		return nil
	}
	j.lease = g.Lease
	m.jobs[j.id] = j
	return j
}

// used returns the memory that the server has given out.
func (m *machine) used() int64 {
	n := int64(0)
	for _, p := range m.engine {
		n += p
	}
	return n
}

// start runs a job on the server. The server refuses what doesn't fit.
func (m *machine) start(j *job) bool {
	if j.running {
		return true
	}
	if m.used()+j.pieces > machinePieces {
		return false
	}
	m.engine[j.id] = j.pieces
	j.running = true
	return true
}

// leave ends a job at its instance. The server may not notice, and the message to
// the owner may get lost.
func (m *machine) leave(j *job, noticed, lost bool) {
	delete(m.jobs, j.id)
	if noticed {
		delete(m.engine, j.id)
	}
	if !lost {
		j.owner.Release(m.now, j.from, Release{Lease: j.lease, Abandoned: j.running && !noticed})
	}
}

func (m *machine) pick(t *rapid.T) *job {
	if len(m.jobs) == 0 {
		t.Skip("no job")
	}
	return m.jobs[rapid.SampledFrom(sortedKeys(m.jobs)).Draw(t, "job")]
}
