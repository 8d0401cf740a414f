package figbalancer

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"figtrail.dev/figtrail/internal/config/figcatalogue"
	"figtrail.dev/figtrail/internal/core/figtimer"
	"figtrail.dev/figtrail/internal/fleet/figview"
	"figtrail.dev/figtrail/internal/limit/figqueue"
)

// engine is what really happens at a server.
type engine struct {
	used    int64
	running int
	// busyUntil is when the prompts that it reads are read.
	busyUntil time.Time
}

// round plays one way on one site.
type round struct {
	way
	site

	view    *figcatalogue.View
	pickers []*Picker
	queues  []*figqueue.Queue
	callers sync.WaitGroup
	duties  sync.WaitGroup

	mu      sync.Mutex
	engines map[string]*engine
	got     got
	// sends counts first sends, retries those beyond.
	sends, retries int
}

// caller is one caller with a request.
type caller struct {
	*rand.Rand

	at     time.Time
	prompt int64
	events int
}

// playWay plays one way in virtual time.
func playWay(t *testing.T, s site, w way, seed uint64) (sum got) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		r := &round{way: w, site: s, view: engineView(s.decode, s.prefill, nil), engines: map[string]*engine{}}
		for _, server := range r.view.Servers["m"] {
			r.engines[server.Name] = &engine{}
		}
		timer := figtimer.New(figtimer.System())
		for i := range s.instances {
			r.addInstance(ctx, timer, i)
		}
		r.duties.Go(func() { r.beat(ctx) })
		random := rand.New(rand.NewPCG(seed, 1))
		for end := time.Now().Add(loadFor); time.Now().Before(end); {
			time.Sleep(time.Duration(random.ExpFloat64() / s.perSecond * float64(time.Second)))
			c := &caller{
				Rand: rand.New(rand.NewPCG(seed, random.Uint64())), at: time.Now(),
				prompt: int64(loadPrompt/2 + random.IntN(loadPrompt)), events: 20 + random.IntN(94),
			}
			r.callers.Go(func() { r.call(ctx, c) })
		}
		r.callers.Wait()
		sum = r.got
		stop()
		r.duties.Wait()
	})
	return sum
}

func (r *round) addInstance(ctx context.Context, timer *figtimer.Timer, i int) {
	p := newPicker(r.instances)
	p.opts.Random = rand.New(rand.NewPCG(uint64(i), 2)).Float64
	p.opts.Isolated = func(time.Time) bool { return r.knowledge == reportedLoad }
	// The queue asks for its pause under its own lock, and not under the picker's.
	pauses := rand.New(rand.NewPCG(uint64(i), 3))
	q := figqueue.New(figqueue.Options{
		Clock: figtimer.System(), Requests: 400, Bytes: 1 << 30, AccountRequests: 400, AccountBytes: 1 << 30, Placing: 2,
		Pause: func() time.Duration {
			if r.waiting == wokenByNews {
				return 0
			}
			return time.Duration((0.5 + pauses.Float64()) * float64(r.instances) * float64(roomPause))
		},
	})
	p.opts.Changed = func(lifetime string, h figview.Held) {
		go q.Wake()
		r.tell(i, map[string]figview.Held{lifetime: h}, false)
	}
	r.duties.Go(func() { _ = q.Run(ctx, timer) })
	r.pickers = append(r.pickers, p)
	r.queues = append(r.queues, q)
}

// tell carries what an instance holds to the others.
func (r *round) tell(from int, held map[string]figview.Held, whole bool) {
	if r.knowledge != toldByAll {
		return
	}
	time.AfterFunc(tellDelay, func() {
		for i, p := range r.pickers {
			if i != from {
				p.Heard(time.Now(), string(rune('a'+from)), 1, held, whole)
				if r.waiting == wokenByNews {
					r.queues[i].Wake()
				}
			}
		}
	})
}

// beat has every instance tell all that it holds, with the progress since it began.
func (r *round) beat(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(beatPause)
		for i, p := range r.pickers {
			r.tell(i, p.Held(), true)
		}
	}
}

// call sends a request, again after a refusal.
func (r *round) call(ctx context.Context, c *caller) {
	for turn := 0; ; turn++ {
		i := c.IntN(r.instances)
		if s, use := r.wait(ctx, i, c, ""); s != nil && r.serve(ctx, i, c, s, use) {
			return
		}
		if turn == returns {
			r.count(func(g *got) { g.refused++ })
			return
		}
		r.count(func(g *got) { g.turns++ })
		time.Sleep(soonest + time.Duration(c.IntN(int(soonest))))
	}
}

func (r *round) count(change func(g *got)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.got)
}

// wait finds room for a request, or returns nil.
func (r *round) wait(ctx context.Context, i int, c *caller, avoid string) (s *figcatalogue.Server, use *Use) {
	p := r.pickers[i]
	place := func() error {
		var err error
		if s, err = p.Pick(time.Now(), decodeQuery(r.view, c.prompt, avoid)); err == nil {
			use = p.Begin(time.Now(), r.view, s, c.prompt)
		}
		return err
	}
	first := firstStep + time.Duration(float64(c.prompt)/prefillRate*float64(time.Second))
	until, priority := c.at.Add(target-first), 0
	switch {
	case avoid != "":
		until, priority = time.Now().Add(waitMost), 1
	case until.Before(time.Now()) && r.waiting == lateToo:
		until, priority = time.Now().Add(lateLong), -1
	case until.Before(time.Now()):
		until, priority = time.Now().Add(lateWait), -1
	}
	switch r.waiting {
	case notAtAll:
		_ = place() // without room s stays nil
		return s, use
	case untilUseless:
		for place() != nil && time.Now().Before(until) {
			time.Sleep(waitStep)
		}
		return s, use
	case byPatience:
		until, priority = c.at.Add(patience-first), 0
	}
	err := r.queues[i].Do(ctx, figqueue.Item{
		Account: "acme", Tokens: c.prompt, Bytes: 1, Deadline: until, Priority: priority,
		Place: func(context.Context) figqueue.Verdict {
			if place() != nil {
				return figqueue.NoRoom
			}
			return figqueue.Placed
		},
	})
	if err != nil {
		return nil, nil
	}
	return s, use
}

// serve computes the prompt and the answer, elsewhere if the server turns out to
// have no room and there is a retry left. It says whether it did.
func (r *round) serve(ctx context.Context, i int, c *caller, s *figcatalogue.Server, use *Use) bool {
	r.count(func(*got) { r.sends++ })
	isRead := false
	for s != nil {
		if isRead && r.reading == elsewhere {
			time.Sleep(firstStep - eventPause)
		} else {
			isRead = r.readApart(i, c, s)
		}
		if r.admitted(c, s, isRead) {
			r.decode(c, s, use)
			return true
		}
		use.End(time.Now(), Result{Full: true, Known: r.knowledge == reportedLoad, Running: r.running(s)})
		if !r.retry() {
			return false
		}
		s, use = r.wait(ctx, i, c, s.Lifetime())
	}
	return false
}

// retry takes a send beyond a request's first, if there is one left.
func (r *round) retry() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if float64(r.retries) >= retryFloor+retryFraction*float64(r.sends) {
		return false
	}
	r.retries++
	return true
}

// readApart has a prefill server compute the prompt, unless s is to.
func (r *round) readApart(i int, c *caller, s *figcatalogue.Server) bool {
	p, now := r.pickers[i], time.Now()
	f, err := p.Pick(now, &Query{View: r.view, Pool: "m", Roles: []figview.Role{figview.Prefill}, Near: "east", Tokens: c.prompt})
	if err != nil || r.reading == alwaysThere {
		return false
	}
	if (r.reading == chosen || r.reading == elsewhere) && !Apart(r.view.Table.Pool("m").Engine, c.prompt, p.HeldAt(now, s), p.HeldAt(now, f)) {
		return false
	}
	use := p.Begin(now, r.view, f, c.prompt)
	time.Sleep(r.read(f, c.prompt, prefillRate))
	use.End(time.Now(), Result{})
	time.Sleep(firstStep - eventPause)
	return true
}

// read has a server read a prompt after those that it has, and returns when it is
// done.
func (r *round) read(s *figcatalogue.Server, prompt int64, rate float64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.engines[s.Name]
	if now := time.Now(); e.busyUntil.Before(now) {
		e.busyUntil = now
	}
	e.busyUntil = e.busyUntil.Add(time.Duration(float64(prompt) / rate * float64(time.Second)))
	return time.Until(e.busyUntil)
}

func (r *round) running(s *figcatalogue.Server) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.engines[s.Name].running
}

// admitted says whether s has the room, and takes it.
func (r *round) admitted(c *caller, s *figcatalogue.Server, isRead bool) bool {
	r.mu.Lock()
	e := r.engines[s.Name]
	full := e.used+c.prompt > memory
	switch {
	case full && isRead:
		r.got.turnedDown++
	case !full:
		e.used += c.prompt
		e.running++
	}
	r.mu.Unlock()
	if !full && !isRead {
		r.read(s, c.prompt, decodeRead)
	}
	return !full
}

// decode writes the answer. Prompts that the server reads hold it up.
func (r *round) decode(c *caller, s *figcatalogue.Server, use *Use) {
	use.Loaded(time.Now(), r.running(s), 0)
	first, held := time.Time{}, c.prompt
	for n := range c.events {
		time.Sleep(eventPause + max(0, r.held(s)))
		if n == 0 {
			first = time.Now()
		}
		if first.Sub(c.at) > patience {
			break
		}
		r.grow(s, 11)
		held += 11
		use.Grow(11)
	}
	r.grow(s, -held)
	r.count(func(g *got) {
		r.engines[s.Name].running--
		switch {
		case first.Sub(c.at) > patience:
			g.left++
			return
		case first.Sub(c.at) > target:
			g.late++
			return
		}
		g.inTime++
		if time.Since(first) > between*time.Duration(c.events) {
			g.slow++
		}
	})
	use.End(time.Now(), Result{Known: r.knowledge == reportedLoad, Running: r.running(s)})
}

// held returns how long prompts keep s from generating.
func (r *round) held(s *figcatalogue.Server) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Until(r.engines[s.Name].busyUntil)
}

func (r *round) grow(s *figcatalogue.Server, tokens int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.engines[s.Name].used += tokens
}
