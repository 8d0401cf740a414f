package figdiscovery

import (
	"context"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"figtrail.dev/figtrail/internal/core/figtimer"
	"figtrail.dev/figtrail/internal/fleet/figview"
)

const (
	// indirectProbes is the number of members through which a silent member is probed.
	indirectProbes = 3
	// startInterval is the time between two rounds of a starting instance.
	startInterval = 100 * time.Millisecond
	// extraProbes is the number of additional probes that failed ones may cause in a round, so that a partition
	// is noticed soon on its smaller side, where few members probe many.
	extraProbes = 2
	// indirectTimeout is the timeout of these probes.
	indirectTimeout = 900 * time.Millisecond
	// seedRounds is the number of rounds between two probes of a seed that is not a present member, and
	// absentRounds that between two probes of a dead or leaving member. Both reconnect the sides of a
	// partition, and find an instance that was restarted while no seed answers.
	seedRounds   = 5
	absentRounds = 5
)

// Run probes the seeds at once and then one member per Interval until ctx ends. It returns nil.
func (d *Discovery) Run(ctx context.Context, t *figtimer.Timer) error {
	seeds := d.unknownSeeds()
	for _, m := range seeds {
		go d.sync(ctx, m)
	}
	if len(seeds) == 0 {
		// There is nobody to ask, as where a single instance runs.
		d.mu.Lock()
		d.settle(d.opts.Clock.Now())
		d.mu.Unlock()
	}
	d.probeUntilSettled(ctx, t)
	round := 0
	for now := range t.Subscribe(ctx, Interval) {
		round++
		for _, m := range d.roundTargets(now, round) {
			go d.probe(ctx, m)
		}
	}
	return nil
}

// probeUntilSettled probes at each startInterval until the list can be taken for complete, because
// requests wait for that at a starting instance.
func (d *Discovery) probeUntilSettled(ctx context.Context, t *figtimer.Timer) {
	for !d.Settled(d.opts.Clock.Now()) && t.Sleep(ctx, startInterval) == nil {
		for _, m := range d.roundTargets(d.opts.Clock.Now(), 0) {
			go d.probe(ctx, m)
		}
	}
}

// roundTargets declares expired suspects dead and returns the targets of a round: the next member in
// the random order, and in some rounds a seed or an absent member. A starting instance that has found no
// other one tries all seeds in every round.
func (d *Discovery) roundTargets(now time.Time, round int) []figview.Member {
	d.expireSuspects(now)
	seeds := d.unknownSeeds()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expectsOthers = len(seeds) > 0
	d.removeExpired(now)
	d.countMembers(now)
	d.extraLeft = extraProbes
	var targets []figview.Member
	if m, ok := d.nextInOrder(); ok {
		targets = append(targets, m)
	}
	alone := len(targets) == 0
	if len(seeds) > 0 && (alone || round%seedRounds == 0) {
		if !alone {
			seeds = seeds[rand.IntN(len(seeds)):][:1]
		}
		targets = append(targets, seeds...)
	}
	if round > 0 && round%absentRounds == 0 {
		for _, m := range d.members {
			if !m.present() {
				targets = append(targets, m.Target())
				break
			}
		}
	}
	return targets
}

// nextInOrder returns the next present member in a random order that reaches each once before it
// starts again. d.mu must be held.
func (d *Discovery) nextInOrder() (figview.Member, bool) {
	for range 2 {
		for len(d.order) > 0 {
			name := d.order[0]
			d.order = d.order[1:]
			if m, ok := d.members[name]; ok && m.present() {
				return m.Target(), true
			}
		}
		for name, m := range d.members {
			if m.present() {
				d.order = append(d.order, name)
			}
		}
		rand.Shuffle(len(d.order), func(i, j int) { d.order[i], d.order[j] = d.order[j], d.order[i] })
	}
	return figview.Member{}, false
}

// unknownSeeds returns the seeds that are not the address of a present member.
func (d *Discovery) unknownSeeds() []figview.Member {
	addresses := d.opts.Seeds()
	d.mu.Lock()
	defer d.mu.Unlock()
	known := map[string]bool{d.self.Address: true}
	for _, m := range d.members {
		if m.present() {
			known[m.Address] = true
		}
	}
	var seeds []figview.Member
	for _, address := range addresses {
		if !known[address] {
			seeds = append(seeds, figview.Member{Name: address, Address: address})
		}
	}
	return seeds
}

// probe probes a target and handles the outcome: it synchronizes with a target whose list differs
// for long, and suspects a member that answers neither this instance nor others.
func (d *Discovery) probe(ctx context.Context, to figview.Member) {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	answer, err := d.opts.Probe(limited, to, d.newMessage())
	cancel()
	if ctx.Err() != nil {
		return
	}
	d.recordResult(to.Name, err == nil)
	if err == nil {
		d.receive(answer)
		if d.wantsSync(answer) {
			d.sync(ctx, to)
		}
		return
	}
	d.FailedCalls.Add(1)
	d.mu.Lock()
	m, known := d.members[to.Name]
	doubted := known && m.State == Alive
	var record Record
	if doubted {
		record = m.Record
		d.probeAnotherLocked(ctx)
	}
	d.mu.Unlock()
	if doubted && !d.probeThroughOthers(ctx, &record) {
		d.suspect(&record, err)
	}
}

// probeAnotherLocked probes the next member in addition to those of the round. d.mu must be held.
func (d *Discovery) probeAnotherLocked(ctx context.Context) {
	if d.extraLeft == 0 {
		return
	}
	if m, ok := d.nextInOrder(); ok {
		d.extraLeft--
		go d.probe(ctx, m)
	}
}

// recordResult notes the outcome of a probe of a present member.
func (d *Discovery) recordResult(name string, answered bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if m, ok := d.members[name]; !ok || !m.present() {
		return
	}
	d.results = append(d.results, probeResult{d.opts.Clock.Now(), answered})
	if len(d.results) > isolationProbes {
		d.results = d.results[1:]
	}
}

// probeThroughOthers reports whether the target answers one of a few other members.
func (d *Discovery) probeThroughOthers(ctx context.Context, target *Record) bool {
	ctx, cancel := context.WithTimeout(ctx, indirectTimeout)
	defer cancel()
	through := d.someAlive(indirectProbes, target.Name)
	answers := make(chan bool, len(through))
	for _, m := range through {
		go func() {
			r, err := d.opts.ProbeThrough(ctx, m, &IndirectProbe{Target: target.Member})
			answers <- err == nil && r.Answered
		}()
	}
	for range through {
		if <-answers {
			return true
		}
	}
	return false
}

// someAlive returns up to n random members that are alive, without the one called except.
func (d *Discovery) someAlive(n int, except string) []figview.Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	var all []figview.Member
	for name, m := range d.members {
		if m.State == Alive && name != except {
			all = append(all, m.Target())
		}
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(n, len(all))]
}

// suspect marks a member as suspected if its record hasn't changed since the failed probe.
func (d *Discovery) suspect(r *Record, err error) {
	now := d.opts.Clock.Now()
	d.mu.Lock()
	m, ok := d.members[r.Name]
	unchanged := ok && m.Record == *r
	d.mu.Unlock()
	if !unchanged {
		return
	}
	klog.InfoS("member answers no probe", "member", r.Name, "address", r.Address, "err", err)
	suspected := *r
	suspected.State = Suspect
	d.merge(now, []Record{suspected}, true)
}

// expireSuspects declares the members dead that have been suspected for suspicionTimeout.
func (d *Discovery) expireSuspects(now time.Time) {
	var ended []gone
	d.mu.Lock()
	for _, m := range d.members {
		if m.State == Suspect && now.Sub(m.changedAt) >= suspicionTimeout {
			r := m.Record
			r.State = Dead
			ended = d.apply(now, &r, true, ended)
			klog.InfoS("member declared dead", "member", r.Name, "address", r.Address, "incarnation", r.Incarnation)
		}
	}
	d.mu.Unlock()
	for _, g := range ended {
		d.opts.OnGone(g.name, g.incarnation)
	}
}

// HandleProbe answers the probe of another instance.
func (d *Discovery) HandleProbe(_ context.Context, m *Message) (*Message, error) {
	d.receive(m)
	return d.newMessage(), nil
}

// HandleIndirectProbe probes a member for another instance.
func (d *Discovery) HandleIndirectProbe(ctx context.Context, q *IndirectProbe) (*IndirectResult, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := d.opts.Probe(ctx, q.Target.Target(), d.newMessage())
	if err != nil {
		return &IndirectResult{}, nil //nolint:nilerr // the result reports that the target did not answer
	}
	d.receive(answer)
	return &IndirectResult{Answered: true}, nil
}
