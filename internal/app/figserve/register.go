package figserve

import (
	"context"

	"figtrail.dev/figtrail/internal/config/figstore"
	"figtrail.dev/figtrail/internal/core/figkernel"
	"figtrail.dev/figtrail/internal/core/fignet"
	"figtrail.dev/figtrail/internal/request/figsend"
)

// Names under which the services are registered with the kernel.
const (
	serviceMetrics    = "metrics"
	servicePeers      = "peers"
	serviceConfig     = "config"
	serviceMembership = "membership"
	serviceKeys       = "keys"
	serviceBudget     = "budget"
	serviceOwner      = "owner"
	servicePlacer     = "placer"
	serviceQueues     = "queues"
	serviceWatch      = "watch"
	serviceAdmin      = "admin"
	serviceCallers    = "callers"
)

// register registers the services in the order in which they start. They stop in reverse
// order, so the listener for callers starts last and stops first.
func (i *Instance) register() error {
	for _, s := range []figkernel.Service{
		{Name: serviceMetrics, Value: i.metrics, Stop: func(context.Context) error { return i.metrics.Close() }},
		{Name: servicePeers, Value: i.client, Run: i.servePeers, Stop: func(context.Context) error { return i.client.Close() }},
		{Name: serviceConfig, Value: i.store, Run: func(ctx context.Context) error { return i.store.Run(ctx, i.timer) }},
		{Name: serviceMembership, Value: i.member, Run: func(ctx context.Context) error { return i.member.Run(ctx, i.timer) }},
		{Name: serviceKeys, Value: i.running, Run: i.cancelWithdrawnKeys},
		{Name: serviceBudget, Value: i.budget, Run: func(ctx context.Context) error { return i.budget.Run(ctx, i.timer) }},
		{Name: serviceOwner, Value: i.owner, Run: func(ctx context.Context) error { return i.owner.Run(ctx, i.timer) }},
		{Name: servicePlacer, Value: i.placer, Run: func(ctx context.Context) error { return i.placer.Run(ctx, i.timer) }},
		{Name: serviceQueues, Value: i.queues, Start: i.queues.Start},
		{Name: serviceWatch, Value: i.callerWatch, Run: i.watchCallers},
		{Name: serviceAdmin, Value: i.admin, Run: func(ctx context.Context) error { return i.admin.Serve(ctx, i.limitOperators(i.operators)) }},
		{Name: serviceCallers, Value: i.front, Run: i.serveCallers},
	} {
		if err := i.kernel.Register(s); err != nil {
			return err
		}
	}
	return nil
}

func (i *Instance) servePeers(ctx context.Context) error {
	return i.handlers.Serve(ctx, i.limitPeers(i.peers))
}

// serveCallers serves callers until ctx ends, and then aborts the remaining requests.
func (i *Instance) serveCallers(ctx context.Context) error {
	stopped := context.AfterFunc(ctx, func() {
		now, cancel := context.WithCancel(context.Background())
		cancel()
		_ = i.front.Shutdown(now)
	})
	defer stopped()
	if err := i.front.Serve(i.limitCallers(fignet.WithWriteTimeout(i.callers, fignet.WriteTimeout))); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

// cancelWithdrawnKeys cancels the running requests of withdrawn and deleted keys after each
// change of the configuration.
func (i *Instance) cancelWithdrawnKeys(ctx context.Context) error {
	store, err := figkernel.Lookup[*figstore.Store](i.kernel, serviceConfig)
	if err != nil {
		return err
	}
	changes := store.Subscribe()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-changes:
			i.running.Apply(store.Tree())
		}
	}
}

// watchCallers checks the running requests for callers that have disconnected.
func (i *Instance) watchCallers(ctx context.Context) error {
	return i.callerWatch.Run(ctx, i.timer.Subscribe(ctx, figsend.WatchInterval))
}
