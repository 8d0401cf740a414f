package figrouter

import (
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"figtrail.dev/figtrail/internal/core/figkernel"
	"figtrail.dev/figtrail/internal/core/fignet"
	"figtrail.dev/figtrail/internal/fleet/figdiscovery"
	"figtrail.dev/figtrail/internal/limit/figmemory"
	"figtrail.dev/figtrail/internal/request/figproxy"
)

const (
	// readyText is the value of Status.Ready while the instance accepts callers.
	readyText = "ready"
	// gaugeInterval is the interval between updates of the gauges.
	gaugeInterval   = 2 * time.Second
	millisPerSecond = 1000
)

// register registers the services in the order in which they start. They stop in reverse
// order, so the listener for callers starts last and stops first.
func (r *Router) register() error {
	for _, s := range []figkernel.Service{
		{Name: "metrics", Value: r.metrics, Stop: func(context.Context) error { return r.metrics.Close() }},
		{Name: "seeds", Run: r.pollSeeds},
		{Name: "peers", Value: r.client, Run: r.servePeers, Stop: func(context.Context) error { return r.client.Close() }},
		{Name: "catalogue", Value: r.catalogue, Run: func(ctx context.Context) error { return r.catalogue.Run(ctx, r.timer) }},
		{Name: "catchUp", Run: func(ctx context.Context) error { return r.catalogue.RunCatchUp(ctx, r.timer) }},
		{Name: "discovery", Value: r.discovery, Run: func(ctx context.Context) error { return r.discovery.Run(ctx, r.timer) }},
		{Name: "pushes", Run: func(ctx context.Context) error { return r.discovery.RunPushes(ctx, r.timer) }},
		{Name: "quota", Value: r.quota, Run: r.quota.Run},
		{Name: "moves", Run: func(ctx context.Context) error { return r.quota.RunMoves(ctx, r.timer) }},
		{Name: "quarantine", Value: r.quarantine, Run: r.quarantine.Run},
		{Name: "coordinator", Value: r.coordinator, Start: r.coordinator.Start, Run: func(ctx context.Context) error { return r.coordinator.Run(ctx, r.timer) }},
		{Name: "work", Run: func(ctx context.Context) error { return r.coordinator.RunWork(ctx, r.timer) }},
		{Name: "placer", Value: r.placer, Run: func(ctx context.Context) error { return r.placer.Run(ctx, r.timer) }},
		{Name: "ends", Run: func(ctx context.Context) error { return r.placer.RunEnds(ctx, r.timer) }, Stop: r.placer.FlushEnds},
		{Name: "stages", Value: r.roles, Run: func(ctx context.Context) error { return r.roles.Run(ctx, r.timer) }},
		{Name: "gauges", Run: r.updateGauges},
		{Name: "watch", Value: r.callerWatch, Run: r.watchCallers},
		{Name: "balancer", Value: r.ready, Run: func(ctx context.Context) error { return r.ready.Serve(ctx, r.limitOperators(r.balancer, "ready")) }},
		{Name: "admin", Value: r.admin, Run: func(ctx context.Context) error { return r.admin.Serve(ctx, r.limitOperators(r.operators, "admin")) }},
		{Name: "callers", Value: r.ingress, Run: r.serveCallers},
	} {
		if err := r.kernel.Register(s); err != nil {
			return err
		}
	}
	return nil
}

func (r *Router) servePeers(ctx context.Context) error {
	return r.handlers.Serve(ctx, r.limitPeers(r.peers))
}

func (r *Router) watchCallers(ctx context.Context) error {
	return r.callerWatch.Run(ctx, r.timer.Subscribe(ctx, watchInterval))
}

// serveCallers serves callers until ctx ends, and then aborts the remaining requests.
func (r *Router) serveCallers(ctx context.Context) error {
	aborted := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(aborted)
		if err := r.ingress.Shutdown(ctx); err != nil {
			klog.InfoS("requests were aborted at shutdown", "err", err)
		}
	})
	if err := r.ingress.Serve(fignet.WithWriteTimeout(r.callers, fignet.WriteTimeout)); err != nil && stop() {
		return err
	}
	<-aborted
	return nil
}

// pollSeeds reads the seeds file again every seedsInterval.
func (r *Router) pollSeeds(ctx context.Context) error {
	for range r.timer.Subscribe(ctx, seedsInterval) {
		r.ReloadSeeds()
	}
	return nil
}

// updateGauges copies the status into gauges every gaugeInterval.
func (r *Router) updateGauges(ctx context.Context) error {
	for now := range r.timer.Subscribe(ctx, gaugeInterval) {
		s := r.statusNow(now)
		reservations, reserved := r.coordinator.ReservationStatus()
		ready := 0.0
		if s.Ready == readyText {
			ready = 1
		}
		speeds := r.coordinator.SpeedStatus()
		for name, value := range map[string]float64{
			"ready":                    ready,
			"declarations_version":     float64(s.Version),
			"source_epoch":             float64(s.SourceEpoch),
			"view_age_seconds":         float64(s.ViewAgeMillis) / millisPerSecond,
			"source_calls":             float64(s.SourceCalls),
			"source_failures":          float64(s.SourceFailures),
			"members_presumed":         float64(s.Presumed),
			"members_heard":            float64(len(s.Members) + 1),
			"callers_in_progress":      float64(s.Callers),
			"server_connections":       float64(s.Dials),
			"server_reuses":            float64(s.Reuses),
			"answers_late":             float64(s.Late),
			"answers_crossed":          float64(s.Crossed),
			"connections_silent":       float64(s.Silent),
			"connections_cut":          float64(s.Cut),
			"log_lines_dropped":        float64(r.DroppedLines()),
			"member_calls_failed":      float64(r.discovery.FailedCalls.Load()),
			"member_syncs":             float64(r.discovery.Syncs.Load()),
			"quota_calls":              float64(r.quota.Asked.Load()),
			"quota_calls_unanswered":   float64(r.quota.Unanswered.Load()),
			"quota_decided_alone":      float64(r.quota.Alone.Load()),
			"placements":               float64(r.coordinator.PlacedCount.Load()),
			"placements_refused":       float64(r.coordinator.RefusedCount.Load()),
			"placements_adopted":       float64(r.coordinator.AdoptedCount.Load()),
			"placements_held":          float64(r.coordinator.Len()),
			"reservations_held":        float64(reservations),
			"reservations_made":        float64(reserved.Made),
			"reservations_kept":        float64(reserved.Kept),
			"reservations_expired":     float64(reserved.Expired),
			"reservations_promised":    float64(reserved.Promised),
			"placements_backfilled":    float64(reserved.Backfilled),
			"refused_at_arrival":       float64(reserved.RefusedAtArrival),
			"coordinators_silent":      float64(r.placer.Unanswered.Load()),
			"placed_without":           float64(r.placer.FallbackCount.Load()),
			"calls_refused_at_arrival": float64(r.coordinator.BacklogCount.Load()),
			"servers_speed_known":      float64(speeds.Known),
			"server_speed_slowest":     speeds.Slowest,
			"server_speed_fastest":     speeds.Fastest,
			"pools_uneven":             float64(speeds.UnevenPools),
			"server_times_odd":         float64(speeds.Odd),
			"servers_limited":          float64(len(r.picker.Limits(now))),
			"servers_withdrawn":        float64(r.picker.WithdrawnCount(now)),
			"servers_ended_answering":  float64(r.quarantine.CrashCount.Load()),
			"prompt_parts_suspected":   float64(r.quarantine.Len()),
			"prompt_parts_quarantined": float64(len(s.QuarantinedParts)),
			"evidence_calls_failed":    float64(r.quarantine.FailedExchanges.Load()),
			"role_orders_decode":       float64(r.roles.DecodeOrders.Load()),
			"role_orders_prefill":      float64(r.roles.PrefillOrders.Load()),
			"work_calls_unanswered":    float64(r.roles.UnansweredCount.Load()),
			"work_answers_invalid":     float64(r.roles.InvalidCount.Load()),
			"held_bytes_connections":   float64(r.memory.Used(figmemory.Connections)),
			"held_bytes_bodies":        float64(r.memory.Used(figmemory.Bodies)),
			"held_bytes_answers":       float64(r.memory.Used(figmemory.Answers)),
			"held_bytes_peers":         float64(r.memory.Used(figmemory.Peers)),
			"held_bytes_limit":         float64(r.heldBytes()),
			"holders_refused":          float64(r.memory.Refused.Load()),
			"holders_evicted":          float64(r.memory.Evicted.Load()),
		} {
			r.metrics.Root.Gauge(name).Update(value)
		}
		for name, value := range queueGauges(r.coordinator.QueueStatus()) {
			r.metrics.Root.Gauge(name).Update(value)
		}
		for state, n := range r.discovery.CountByState() {
			r.metrics.Root.Gauge("members_" + state.String()).Update(float64(n))
		}
		for pool, s := range r.roles.Status() {
			scope := r.metrics.Root.Tagged(map[string]string{"pool": pool})
			scope.Gauge("prefill_servers_wanted").Update(float64(s.Wanted))
			scope.Gauge("prefill_servers").Update(float64(s.Present))
		}
	}
	return nil
}

// ReloadSeeds reads the seeds file again. The seeds are the only setting that may change
// while the process runs. If the file can't be read, the previous seeds stay in use.
func (r *Router) ReloadSeeds() {
	if r.SeedsFile == "" {
		return
	}
	seeds, err := r.adapter.ReadSeeds(r.SeedsFile)
	if err != nil {
		klog.InfoS("failed to read the seeds file; keeping the previous seeds", "err", err)
		return
	}
	if before := *r.seeds.Load(); !slices.Equal(before, seeds) {
		klog.InfoS("seeds changed", "before", before, "now", seeds)
		r.seeds.Store(&seeds)
	}
}

// Drain shuts the instance down gracefully. It first reports that it isn't ready while it
// still accepts requests for Settings.DrainNotice, then stops accepting and waits for the
// running requests. Requests that still run killMargin before the end of Settings.Grace
// are aborted. Drain returns early if ctx ends. The caller then ends the context of Run.
func (r *Router) Drain(ctx context.Context) {
	begun := r.clock.Now()
	drain := figproxy.DrainFrom(begun, r.Grace, killMargin)
	r.drain.Store(&drain)
	r.discovery.SetLeaving()
	klog.InfoS("draining", "notice", r.DrainNotice, "grace", r.Grace)
	if r.timer.Sleep(ctx, r.DrainNotice) != nil {
		return
	}
	limited, cancel := context.WithDeadline(ctx, drain.AbortAt())
	defer cancel()
	if err := r.ingress.Shutdown(limited); err != nil {
		klog.InfoS("requests were aborted at the end of the grace period", "err", err)
	}
	klog.InfoS("drained", "took", r.clock.Now().Sub(begun))
}

// Status is the answer of the admin page /status.
type Status struct {
	Name       string `json:"name"`
	DataCentre string `json:"dataCentre"`
	// Ready is "ready" or the reason why not.
	Ready string `json:"ready"`
	// Version is the version of the configuration in use, 0 before one was loaded.
	Version uint64 `json:"version"`
	// ViewAgeMillis is the time since the source last confirmed the configuration, in
	// milliseconds.
	ViewAgeMillis int64 `json:"viewAgeMillis"`
	// SourceEpoch is one more than the number that the source reports, which rises at each restoration from an older copy;
	// 0 if it reports none.
	SourceEpoch uint64 `json:"sourceEpoch"`
	// Servers holds the number of servers by pool.
	Servers map[string]int `json:"servers"`
	// SourceCalls and SourceFailures count the calls to the source and the failed ones.
	SourceCalls    uint64                      `json:"sourceCalls"`
	SourceFailures uint64                      `json:"sourceFailures"`
	Members        []figdiscovery.MemberStatus `json:"members"`
	// Presumed is the assumed number of instances among which limits are divided.
	Presumed int `json:"presumed"`
	// QuarantinedParts holds the ids of the prompt parts that no server gets, because servers crash on
	// them.
	QuarantinedParts []string `json:"quarantinedParts"`
	// Callers is the number of requests in progress.
	Callers int `json:"callers"`
	// Dials and Reuses count new and reused connections to servers. Late counts
	// unsolicited answers, Crossed answers with the ID of another request, Silent
	// timeouts, and Cut incomplete answers.
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
		Name:             r.Name,
		DataCentre:       r.DataCentre,
		Ready:            readyText,
		Servers:          map[string]int{},
		SourceEpoch:      v.Epoch,
		SourceCalls:      r.catalogue.Calls.Load(),
		SourceFailures:   r.catalogue.Failures.Load(),
		Members:          r.discovery.Status(),
		Presumed:         r.discovery.MaxMembers(now),
		Callers:          r.callerWatch.Len(),
		QuarantinedParts: r.quarantine.Quarantined(),
		Dials:            r.sender.Dials.Load(),
		Reuses:           r.sender.Reuses.Load(),
		Late:             r.sender.Unsolicited.Load(),
		Crossed:          r.sender.Mismatched.Load(),
		Silent:           r.sender.TimedOut.Load(),
		Cut:              r.sender.Incomplete.Load(),
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
