package figrouter

import (
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"figtrail.dev/figtrail/internal/core/figkernel"
	"figtrail.dev/figtrail/internal/core/fignet"
	"figtrail.dev/figtrail/internal/fleet/figdiscovery"
)

const (
	// readyText is the status of an instance to which callers may be sent.
	readyText = "ready"
	// observeInterval is the time between two looks at the parts, for gauges.
	observeInterval = 2 * time.Second
	// millisPerSecond turns milliseconds into seconds.
	millisPerSecond = 1000
)

// register names the services in the order of their start. Callers come last in
// and first out.
func (r *Router) register() error {
	for _, s := range []figkernel.Service{
		{Name: "metrics", Value: r.metrics, Stop: func(context.Context) error { return r.metrics.Close() }},
		{Name: "seeds", Run: r.followSeeds},
		{Name: "peers", Value: r.client, Run: r.servePeers, Stop: func(context.Context) error { return r.client.Close() }},
		{Name: "catalogue", Value: r.catalogue, Run: func(ctx context.Context) error { return r.catalogue.Run(ctx, r.timer) }},
		{Name: "beats", Value: r.beats, Run: func(ctx context.Context) error { return r.beats.Run(ctx, r.timer) }},
		{Name: "news", Run: func(ctx context.Context) error { return r.beats.RunUpdates(ctx, r.timer) }},
		{Name: "queues", Value: r.queues, Start: r.queues.Start},
		{Name: "stages", Value: r.stages, Run: func(ctx context.Context) error { return r.stages.Run(ctx, r.timer) }},
		{Name: "gauges", Run: r.observe},
		{Name: "watch", Value: r.watch, Run: r.watchCallers},
		{Name: "balancer", Value: r.ready, Run: func(ctx context.Context) error { return r.ready.Serve(ctx, r.balancer) }},
		{Name: "admin", Value: r.admin, Run: func(ctx context.Context) error { return r.admin.Serve(ctx, r.operators) }},
		{Name: "callers", Value: r.gate, Run: r.serveCallers},
	} {
		if err := r.kernel.Register(s); err != nil {
			return err
		}
	}
	return nil
}

func (r *Router) servePeers(ctx context.Context) error { return r.handlers.Serve(ctx, r.peers) }

func (r *Router) watchCallers(ctx context.Context) error {
	return r.watch.Run(ctx, r.timer.Subscribe(ctx, watchInterval))
}

// serveCallers serves until ctx ends, and then cuts what still runs.
func (r *Router) serveCallers(ctx context.Context) error {
	stopped := context.AfterFunc(ctx, func() {
		now, cancel := context.WithCancel(context.Background())
		cancel()
		if err := r.gate.Shutdown(now); err != nil {
			klog.InfoS("requests were cut", "err", err)
		}
	})
	defer stopped()
	if err := r.gate.Serve(fignet.WithWriteTimeout(r.callers, fignet.WriteTimeout)); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

// followSeeds reads the seeds file again from time to time.
func (r *Router) followSeeds(ctx context.Context) error {
	r.Reload()
	for range r.timer.Subscribe(ctx, seedsInterval) {
		r.Reload()
	}
	return nil
}

// observe shows the state of the parts as gauges.
func (r *Router) observe(ctx context.Context) error {
	for now := range r.timer.Subscribe(ctx, observeInterval) {
		s := r.statusNow(now)
		ready := 0.0
		if s.Ready == readyText {
			ready = 1
		}
		for name, value := range map[string]float64{
			"ready":                   ready,
			"declarations_version":    float64(s.Version),
			"view_age_seconds":        float64(s.ViewAgeMillis) / millisPerSecond,
			"source_calls":            float64(s.SourceCalls),
			"source_failures":         float64(s.SourceFailures),
			"members_presumed":        float64(s.Presumed),
			"members_heard":           float64(len(s.Members) + 1),
			"callers_in_progress":     float64(s.Callers),
			"server_connections":      float64(s.Dials),
			"server_reuses":           float64(s.Reuses),
			"answers_late":            float64(s.Late),
			"answers_crossed":         float64(s.Crossed),
			"connections_silent":      float64(s.Silent),
			"connections_cut":         float64(s.Cut),
			"log_lines_dropped":       float64(r.DroppedLines()),
			"beats_without_an_answer": float64(r.beats.FailedExchanges.Load()),
		} {
			r.metrics.Root.Gauge(name).Update(value)
		}
	}
	return nil
}

// Reload reads again what may change while the process runs. A file that can't be
// read leaves what was read before.
func (r *Router) Reload() {
	if r.SeedsFile == "" {
		return
	}
	seeds, err := r.adapter.Seeds(r.SeedsFile)
	if err != nil {
		klog.InfoS("seeds not read", "err", err)
		return
	}
	if before := *r.seeds.Load(); !slices.Equal(before, seeds) {
		klog.InfoS("seeds", "before", before, "now", seeds)
		r.seeds.Store(&seeds)
	}
}

// Drain ends the instance's work without cutting a request: it says that it isn't
// ready, goes on accepting for the notice, then closes to new callers and waits for
// the running requests until shortly before the grace is over.
func (r *Router) Drain(ctx context.Context) {
	begun := r.clock.Now()
	r.draining.Store(true)
	r.beats.SetLeaving()
	klog.InfoS("draining", "notice", r.DrainNotice, "grace", r.Grace)
	if r.timer.Sleep(ctx, r.DrainNotice) != nil {
		return
	}
	limited, cancel := context.WithDeadline(ctx, begun.Add(r.Grace-endMargin))
	defer cancel()
	if err := r.gate.Shutdown(limited); err != nil {
		klog.InfoS("requests were cut at the end of the grace", "err", err)
	}
	klog.InfoS("drained", "took", r.clock.Now().Sub(begun))
}

// Status is what /status shows.
type Status struct {
	Name       string `json:"name"`
	DataCentre string `json:"dataCentre"`
	// Ready is "ready" or the reason why not.
	Ready string `json:"ready"`
	// Version is that of the declarations in force, 0 if there are none.
	Version uint64 `json:"version"`
	// ViewAgeMillis is the time since the source confirmed them, in milliseconds.
	ViewAgeMillis int64 `json:"viewAgeMillis"`
	// Servers counts the servers of each pool.
	Servers map[string]int `json:"servers"`
	// SourceCalls and SourceFailures count calls to the source.
	SourceCalls    uint64                      `json:"sourceCalls"`
	SourceFailures uint64                      `json:"sourceFailures"`
	Members        []figdiscovery.MemberStatus `json:"members"`
	// Presumed is the number of instances among which bounds are shared.
	Presumed int `json:"presumed"`
	// Callers counts the requests in progress.
	Callers int `json:"callers"`
	// Dials, Reuses, Late, Crossed, Silent and Cut count what was seen on
	// connections to servers.
	Dials   uint64 `json:"dials"`
	Reuses  uint64 `json:"reuses"`
	Late    uint64 `json:"late"`
	Crossed uint64 `json:"crossed"`
	Silent  uint64 `json:"silent"`
	Cut     uint64 `json:"cut"`
}

func (r *Router) status() any { return r.statusNow(r.clock.Now()) }

func (r *Router) statusNow(now time.Time) Status {
	v := r.catalogue.View()
	s := Status{
		Name:           r.Name,
		DataCentre:     r.DataCentre,
		Ready:          readyText,
		Servers:        map[string]int{},
		SourceCalls:    r.catalogue.Calls.Load(),
		SourceFailures: r.catalogue.Failures.Load(),
		Members:        r.beats.Status(),
		Presumed:       r.beats.MaxMembers(now),
		Callers:        r.watch.Len(),
		Dials:          r.sender.Dials.Load(),
		Reuses:         r.sender.Reuses.Load(),
		Late:           r.sender.Unsolicited.Load(),
		Crossed:        r.sender.Mismatched.Load(),
		Silent:         r.sender.TimedOut.Load(),
		Cut:            r.sender.Incomplete.Load(),
	}
	if err := r.Ready(); err != nil {
		s.Ready = err.Error()
	}
	if v.Table != nil {
		s.Version = v.Table.Version
		s.ViewAgeMillis = now.Sub(v.UpdatedAt).Milliseconds()
	}
	for pool, all := range v.Servers {
		s.Servers[pool] = len(all)
	}
	return s
}
