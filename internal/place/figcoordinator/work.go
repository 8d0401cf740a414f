package figcoordinator

import (
	"context"
	"sync"
	"time"

	"figtrail.dev/figtrail/internal/core/figtimer"
	"figtrail.dev/figtrail/internal/fleet/figview"
)

const (
	// workInterval is the length of a part of the window, and the time between two samples of the servers' load.
	workInterval = 500 * time.Millisecond
	// workParts is the number of parts of a window. 8 s hold two answers of a decode server, and average out
	// bursts of a second or two.
	workParts = 16
	// maxWorkWindow bounds the time of a window. It takes longer if this process didn't run for a while.
	maxWorkWindow = 12 * time.Second
	// maxPrefillTook bounds the durations of prefills that count. A longer one measures a frozen server, not its speed.
	maxPrefillTook = 10 * time.Second
	// minSpeedTokens is the number of prompt tokens from which on a measured speed counts: about ten prompts.
	minSpeedTokens = 50_000
	// maxQueryPools bounds the pools in one answer.
	maxQueryPools = 64
)

// workMeter measures the work at the engines that this instance coordinates. It is safe for concurrent use.
type workMeter struct {
	mu    sync.Mutex
	pools map[string]*workWindow
}

// workWindow is the work of a pool in the last parts of a window. The last of all is still being filled.
type workWindow struct {
	all []workPart
	// speed is the last measured speed of a prefill server. Busy servers are rarely found empty.
	speed float64
}

// workPart is the work of a pool in a part of a window.
type workPart struct {
	startedAt time.Time
	// promptTokens and missedTokens are defined as in PoolWork; prompts counts both.
	promptTokens, missedTokens, prompts int64
	refused, placed                     int64
	// took and tookCount sum the durations of all prefills. aloneTook and aloneTokens sum those that found their
	// server empty, whose duration has no queue in it.
	took        time.Duration
	tookCount   int64
	aloneTook   time.Duration
	aloneTokens int64
	workSample
}

// workSample is the load of a pool's servers at one time.
type workSample struct {
	prefillServers, decodeServers, prefillBusy, waiting int
	heldTokens                                          int64
	// fullServers and fullTokens are decodeServers and heldTokens if requests wait, and 0 otherwise.
	fullServers int
	fullTokens  int64
}

// update changes the part that is being filled, if samples of the pool are taken.
func (m *workMeter) update(pool string, change func(p *workPart)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if w := m.pools[pool]; w != nil {
		change(&w.all[len(w.all)-1])
	}
}

// prefill counts a prompt that was placed on a prefill server with this load.
func (m *workMeter) prefill(p *placed, q *Request, before figview.ServerLoad) {
	p.promptTokens, p.prefillAlone = q.PromptTokens, before.Requests == 0
	m.update(q.Pool, func(w *workPart) {
		w.promptTokens += q.PromptTokens
		w.prompts++
	})
}

// missed counts a prompt for which no prefill server was suitable, unless its decode server has nothing else to do.
func (m *workMeter) missed(q *Request, decode figview.ServerLoad) {
	if decode.Requests <= 1 {
		return
	}
	m.update(q.Pool, func(w *workPart) {
		w.missedTokens += q.PromptTokens
		w.prompts++
	})
}

// prefillEnded counts the duration of a prefill.
func (m *workMeter) prefillEnded(p *placed, e *End) {
	r := &e.Result
	if e.NoResult || r.Failed || r.Unreachable || r.NoCapacity || r.Took <= 0 || r.Took > maxPrefillTook {
		return
	}
	m.update(p.pool, func(w *workPart) {
		if p.promptTokens == 0 {
			return // a repeated message
		}
		w.took += r.Took
		w.tookCount++
		if p.prefillAlone {
			w.aloneTook += r.Took
			w.aloneTokens += p.promptTokens
		}
		p.promptTokens = 0
	})
}

// answered counts a placement or a refusal for lack of room. A refusal after quickWait doesn't count, because the same
// request waits at another coordinator then.
func (m *workMeter) answered(q *Request, a *Answer) {
	full := a.Full && q.Wait > quickWait
	if a.Status != Placed && !full {
		return
	}
	m.update(q.Pool, func(w *workPart) {
		if a.Status == Placed {
			w.placed++
		} else {
			w.refused++
		}
	})
}

// sample ends the parts that are being filled and starts new ones. Pools without a sample are forgotten.
func (m *workMeter) sample(now time.Time, samples map[string]workSample) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for pool := range m.pools {
		if _, ok := samples[pool]; !ok {
			delete(m.pools, pool)
		}
	}
	for pool, s := range samples {
		w := m.pools[pool]
		if w == nil {
			w = &workWindow{all: make([]workPart, 0, workParts+1)}
			m.pools[pool] = w
		}
		if len(w.all) == workParts+1 {
			copy(w.all, w.all[1:])
			w.all = w.all[:workParts]
		}
		w.all = append(w.all, workPart{startedAt: now, workSample: s})
	}
}

// work returns the work of a pool, and false if no whole window has been measured without a pause.
func (m *workMeter) work(now time.Time, pool string) (PoolWork, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	w := m.pools[pool]
	if w == nil || len(w.all) <= workParts {
		return PoolWork{}, false
	}
	var sum workPart
	for i := range w.all {
		sum.add(&w.all[i])
	}
	window := now.Sub(w.all[0].startedAt)
	seconds, samples := window.Seconds(), float64(len(w.all))
	if seconds <= 0 || window > maxWorkWindow {
		return PoolWork{}, false
	}
	work := PoolWork{
		Pool: pool, Window: window,
		PrefillServers: float64(sum.prefillServers) / samples, DecodeServers: float64(sum.decodeServers) / samples,
		PromptTokens: float64(sum.promptTokens) / seconds, MissedTokens: float64(sum.missedTokens) / seconds,
		Prompts:     float64(sum.prompts) / seconds,
		PrefillBusy: float64(sum.prefillBusy) / samples, HeldTokens: float64(sum.heldTokens) / samples,
		Waiting: float64(sum.waiting) / samples,
		Refused: float64(sum.refused) / seconds, Placed: float64(sum.placed) / seconds,
	}
	if sum.fullServers > 0 {
		work.FullMemory = float64(sum.fullTokens) / float64(sum.fullServers)
	}
	if sum.tookCount > 0 {
		work.PrefillTime = sum.took / time.Duration(sum.tookCount)
	}
	if sum.aloneTokens >= minSpeedTokens && sum.aloneTook > 0 {
		w.speed = float64(sum.aloneTokens) / sum.aloneTook.Seconds()
	}
	work.PrefillSpeed = w.speed
	return work, true
}

// add adds the sums of another part.
func (p *workPart) add(o *workPart) {
	p.promptTokens += o.promptTokens
	p.missedTokens += o.missedTokens
	p.prompts += o.prompts
	p.refused += o.refused
	p.placed += o.placed
	p.took += o.took
	p.tookCount += o.tookCount
	p.aloneTook += o.aloneTook
	p.aloneTokens += o.aloneTokens
	p.prefillServers += o.prefillServers
	p.decodeServers += o.decodeServers
	p.prefillBusy += o.prefillBusy
	p.waiting += o.waiting
	p.heldTokens += o.heldTokens
	p.fullServers += o.fullServers
	p.fullTokens += o.fullTokens
}

// RunWork measures the work at the engines that this instance coordinates until ctx ends. It returns nil.
func (c *Coordinator) RunWork(ctx context.Context, t *figtimer.Timer) error {
	for now := range t.Subscribe(ctx, workInterval) {
		c.work.sample(now, c.sampleWork())
	}
	return nil
}

// sampleWork returns the load of the engines that this instance coordinates, by pool.
func (c *Coordinator) sampleWork() map[string]workSample {
	v := c.View()
	samples := map[string]workSample{}
	var loads map[string]figview.ServerLoad
	for pool, servers := range v.Servers {
		if v.Table == nil || v.Table.Pool(pool).Engine == nil || !c.Shares.ownsAny(v, pool) {
			continue
		}
		if loads == nil {
			loads = c.picker.LocalLoad()
		}
		s := workSample{waiting: c.queues.ForPool(pool).Status().Waiting}
		for i := range servers {
			lifetime := servers[i].Lifetime()
			if !v.Usable(&servers[i]) || !c.Shares.MayPlace(v, pool, lifetime) {
				continue
			}
			s.add(servers[i].Role, loads[lifetime])
		}
		if s.waiting > 0 {
			s.fullServers, s.fullTokens = s.decodeServers, s.heldTokens
		}
		samples[pool] = s
	}
	return samples
}

// add adds the load of one server.
func (s *workSample) add(role figview.Role, load figview.ServerLoad) {
	switch role {
	case figview.Prefill:
		s.prefillServers++
		if load.Requests > 0 {
			s.prefillBusy++
		}
	case figview.Decode:
		s.decodeServers++
		s.heldTokens += load.Tokens
	}
}

// HandleWork answers the question of another instance for the work that this one measured.
func (c *Coordinator) HandleWork(_ context.Context, q *WorkQuery) (*WorkAnswer, error) {
	now := c.Clock.Now()
	a := &WorkAnswer{}
	for _, pool := range q.Pools[:min(len(q.Pools), maxQueryPools)] {
		if work, ok := c.work.work(now, pool); ok {
			a.All = append(a.All, work)
		}
	}
	return a, nil
}
