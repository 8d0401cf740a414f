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
	serverPieces = 24
	modelTick    = 250 * time.Millisecond
	// listDelay is the time until the published list shows that an instance has died.
	listDelay = 5 * time.Second
	// deadHolderBound limits the time from the death of a holder to free memory: the update of the
	// published list, the expiry of the lease, a report and a cancel.
	deadHolderBound = listDelay + LeaseDuration + 3*time.Second
	// releaseBound is the same limit for a release that the owner receives.
	releaseBound = ReleaseGrace + 3*time.Second
	// silentHolderBound is the same limit for a listed holder from which no more messages arrive.
	silentHolderBound = SilentHolderTimeout + 3*time.Second
	// handoverReports is how many reports in a row may not yet show a grant.
	handoverReports = 2
	// lostReleaseBound is the same limit for a live holder whose release was lost.
	lostReleaseBound = LeaseDuration + RenewalGrace + 3*time.Second
	// unleasedBound is the same limit for a request without a known lease.
	unleasedBound = UnleasedGrace + 3*time.Second
)

// job is a request that an instance of the model sends to the server.
type job struct {
	id, from string
	pieces   int64
	lease    uint64
	owner    *Backend
	running  bool
}

// fleetModel simulates one decode server, its owners and some instances. The server is as bad as the
// engine protocol permits: it doesn't notice closed connections, and it may ignore cancels for a
// while.
type fleetModel struct {
	now            time.Time
	owner          *Backend
	oldOwner       *Backend
	lastNumber     uint64
	jobs           map[string]*job
	engine         map[string]int64
	started        time.Time
	dead           map[string]time.Time
	lastHeard      map[string]time.Time
	ignoresCancels bool
	singleOwner    bool
	// speed is the number of tokens per second that one request generates. tokens holds the tokens that
	// each request has generated.
	speed  float64
	tokens map[string]float64
	// staleInstances makes instances keep renewing leases with the old owner.
	staleInstances bool
	reports        [2]*Report
}

func newFleetModel() *fleetModel {
	m := &fleetModel{
		now: testStart, jobs: map[string]*job{}, engine: map[string]int64{}, tokens: map[string]float64{}, singleOwner: true,
		dead: map[string]time.Time{}, lastHeard: map[string]time.Time{}, started: testStart.Add(-time.Hour),
	}
	m.owner = m.newOwner()
	for range 16 {
		m.tick()
	}
	return m
}

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func (m *fleetModel) newOwner() *Backend {
	s := figview.Server{Name: "d", Role: figview.Decode}
	return NewBackend(s, &figtree.Pool{BlockTokens: 2048}, m.now)
}

// engineReport returns the present load report of the server.
func (m *fleetModel) engineReport() *Report {
	r := &Report{StartedAt: m.started, Age: modelTick, PiecesTotal: serverPieces}
	held := int64(0)
	for _, id := range sortedKeys(m.engine) {
		held += m.engine[id]
		r.Running = append(r.Running, Running{ID: id, Pieces: m.engine[id], Tokens: 1 + int64(m.tokens[id])})
	}
	r.PiecesFree = serverPieces - held
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

// tick advances the model by one interval: instances renew their leases, and the owners get a late
// report and cancel the requests that Sweep returns.
func (m *fleetModel) tick() {
	m.now = m.now.Add(modelTick)
	for id := range m.engine {
		m.tokens[id] += m.speed * modelTick.Seconds()
	}
	m.reports[0], m.reports[1] = m.reports[1], m.engineReport()
	for _, id := range sortedKeys(m.jobs) {
		m.renew(m.jobs[id])
	}
	for _, b := range []*Backend{m.owner, m.oldOwner} {
		if b == nil || m.reports[0] == nil {
			continue
		}
		b.Observe(m.now, m.reports[0])
		for _, id := range b.Sweep(m.now, m.holder, b == m.owner) {
			if !m.ignoresCancels {
				delete(m.engine, id)
			}
		}
	}
}

// renew renews the lease of a job, or registers the job with a new owner.
func (m *fleetModel) renew(j *job) {
	if _, dead := m.dead[j.from]; dead {
		delete(m.jobs, j.id)
		return
	}
	m.lastHeard[j.from] = m.now
	if (j.owner == m.owner || m.staleInstances) && j.owner.Renew(m.now, j.lease, j.from) {
		return
	}
	m.lastNumber++
	g := m.owner.Reserve(m.now, m.lastNumber, j.from, ReservationRequest{ID: j.id, Pieces: j.pieces, Tokens: j.pieces * 2048, AlreadyRunning: true}, true)
	j.lease, j.owner = g.Lease, m.owner
}

func (m *fleetModel) holder(name string) HolderStatus {
	at, dead := m.dead[name]
	return HolderStatus{Listed: !dead || m.now.Sub(at) < listDelay, LastHeard: m.lastHeard[name]}
}

// place asks an owner for a reservation. It returns nil if the owner refuses.
func (m *fleetModel) place(b *Backend, from string, pieces int64) *job {
	return m.placeAs(b, from, pieces, true)
}

// placeAs does the same as place, for an owner whose view is fresh or not.
func (m *fleetModel) placeAs(b *Backend, from string, pieces int64, fresh bool) *job {
	m.lastNumber++
	j := &job{id: fmt.Sprint("r", m.lastNumber), from: from, pieces: pieces, owner: b}
	g := b.Reserve(m.now, m.lastNumber, from, ReservationRequest{ID: j.id, Pieces: pieces, Tokens: pieces * 2048, OutputTokens: 100}, fresh)
	m.lastHeard[from] = m.now
	if g.Outcome != Granted {
		return nil
	}
	j.lease = g.Lease
	m.jobs[j.id] = j
	return j
}

// usedPieces returns the memory that the requests on the server occupy.
func (m *fleetModel) usedPieces() int64 {
	n := int64(0)
	for _, p := range m.engine {
		n += p
	}
	return n
}

// start runs a job on the server. It returns false if the server lacks the memory.
func (m *fleetModel) start(j *job) bool {
	if j.running {
		return true
	}
	if m.usedPieces()+j.pieces > serverPieces {
		return false
	}
	m.engine[j.id] = j.pieces
	j.running = true
	return true
}

// endJob ends a job at its instance. The server only drops the request if noticed is set, and the
// owner only gets the release if lost is not set.
func (m *fleetModel) endJob(j *job, noticed, lost bool) {
	delete(m.jobs, j.id)
	if noticed {
		delete(m.engine, j.id)
	}
	if !lost {
		j.owner.Release(m.now, j.from, Release{Lease: j.lease, Abandoned: j.running && !noticed})
	}
}

func (m *fleetModel) pickJob(t *rapid.T) *job {
	if len(m.jobs) == 0 {
		t.Skip("no job")
	}
	return m.jobs[rapid.SampledFrom(sortedKeys(m.jobs)).Draw(t, "job")]
}
