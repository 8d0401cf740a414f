// Package figrouter runs one figtrail instance on a platform that publishes its
// configuration by host and path and has no list of instances. It creates the
// components, connects them through their function fields, registers them as services
// of the kernel, and drains the instance at shutdown. Everything specific to the
// platform is passed in as an Adapter.
//
// # Usage
//
//	r, err := figrouter.New(settings, adapter)
//	if err != nil {
//		return err
//	}
//	go func() { <-signals; r.Drain(ctx); cancel() }()
//	err = r.Run(ctx)
package figrouter

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"figtrail.dev/figtrail/internal/config/figcatalogue"
	"figtrail.dev/figtrail/internal/core/figerror"
	"figtrail.dev/figtrail/internal/core/figkernel"
	"figtrail.dev/figtrail/internal/core/fignet"
	"figtrail.dev/figtrail/internal/core/figtimer"
	"figtrail.dev/figtrail/internal/edge/figadmin"
	"figtrail.dev/figtrail/internal/edge/figingress"
	"figtrail.dev/figtrail/internal/edge/figmetric"
	"figtrail.dev/figtrail/internal/fleet/figassign"
	"figtrail.dev/figtrail/internal/fleet/figdiscovery"
	"figtrail.dev/figtrail/internal/fleet/figpeer"
	"figtrail.dev/figtrail/internal/fleet/figview"
	"figtrail.dev/figtrail/internal/limit/figmemory"
	"figtrail.dev/figtrail/internal/limit/figqueue"
	"figtrail.dev/figtrail/internal/limit/figquota"
	"figtrail.dev/figtrail/internal/place/figbalancer"
	"figtrail.dev/figtrail/internal/place/figcoordinator"
	"figtrail.dev/figtrail/internal/place/figquarantine"
	"figtrail.dev/figtrail/internal/place/figrole"
	"figtrail.dev/figtrail/internal/request/figproxy"
	"figtrail.dev/figtrail/internal/request/figsend"
)

const (
	// retryLimitFraction is the fraction of the configured retry limits that is used. The
	// rest is a margin, because the instances' counts lag behind each other.
	retryLimitFraction = 0.7
	// connectionsPerServer is the maximum number of pooled connections to one server:
	// the total that a server declares, divided among the usual number of instances.
	connectionsPerServer = 12
	// dialTimeout limits the time to connect to a server. It allows for hundreds of round
	// trips.
	dialTimeout = 300 * time.Millisecond
	// idleTimeout is how long an unused connection to a server is kept open.
	idleTimeout = 15 * time.Second
	// maxHeaderBytes is the maximum size of a caller's header, as declared by operators.
	maxHeaderBytes = 16 << 10
	// bodyMemoryDivisor limits one request body to 1/16 of the process's memory.
	bodyMemoryDivisor = 16
	// answerMemoryDivisor limits one server's answer to 1/32 of the process's memory. Several servers may
	// send bytes without end at once.
	answerMemoryDivisor = 32
	// watchInterval is the interval between checks of the callers' connections. When
	// a caller disconnects, its server must be freed within half a second.
	watchInterval = 150 * time.Millisecond
	// seedsInterval is how often the seeds file is read again, because it may change without a
	// SIGHUP. An instance that is no longer first in it must soon stop to send role orders.
	seedsInterval = time.Second
	// queueRequests is the maximum number of waiting requests of a pool.
	queueRequests = 400
	// queueMemoryDivisor limits the waiting requests of a pool to 1/8 of the memory.
	queueMemoryDivisor = 8
	// maxConcurrentPlacements is the maximum number of concurrent placement attempts
	// of a pool; choosing a server takes microseconds.
	maxConcurrentPlacements = 2
	// killMargin is how long before the end of the grace period the remaining
	// requests are aborted. Their answers are written in figingress.AnswerTimeout.
	killMargin = 500 * time.Millisecond
)

// Router is one instance of figtrail. Create it with New.
type Router struct {
	Settings

	// DroppedLines returns the number of dropped log lines. It may be set before Run.
	DroppedLines func() uint64

	adapter     Adapter
	incarnation uint64
	clock       figtimer.Clock
	timer       *figtimer.Timer
	kernel      *figkernel.Kernel
	listeners   []net.Listener
	callers     net.Listener
	peers       net.Listener
	balancer    net.Listener
	operators   net.Listener
	catalogue   *figcatalogue.Catalogue
	handlers    *figpeer.Handlers
	client      *figpeer.Client
	discovery   *figdiscovery.Discovery
	assigner    *figassign.Assigner
	quota       *figquota.Quota
	picker      *figbalancer.Picker
	shares      *figcoordinator.Shares
	coordinator *figcoordinator.Coordinator
	placer      *figcoordinator.Placer
	quarantine  *figquarantine.Quarantine
	sender      *figsend.Sender
	metrics     *figmetric.Metrics
	proxy       *figproxy.Proxy
	roles       *figrole.Controller
	callerWatch *figsend.CallerWatch
	memory      *figmemory.Budget
	ingress     *figingress.Server
	ready       *figadmin.Admin
	admin       *figadmin.Admin
	seeds       atomic.Pointer[[]string]
	drain       atomic.Pointer[figproxy.Drain]
}

// New opens the listeners and creates the components. It starts no service: Run does.
// If it fails, it closes the listeners that it opened.
func New(s Settings, a Adapter) (*Router, error) {
	clock := figtimer.System()
	r := &Router{
		Settings:     s,
		DroppedLines: func() uint64 { return 0 },
		adapter:      a,
		incarnation:  uint64(time.Now().UnixNano()),
		clock:        clock,
		timer:        figtimer.New(clock),
		kernel:       figkernel.New(),
	}
	if err := r.listen(); err != nil {
		return nil, err
	}
	r.connect()
	r.ReloadSeeds()
	if err := r.register(); err != nil {
		r.closeListeners()
		return nil, err
	}
	return r, nil
}

func (r *Router) listen() error {
	config := fignet.ListenConfig()
	for _, l := range []struct {
		name, address string
		into          *net.Listener
	}{
		{"callers", r.Listen, &r.callers},
		{"peers", r.PeerListen, &r.peers},
		{"the balancer", r.ReadyListen, &r.balancer},
		{"operators", r.AdminListen, &r.operators},
	} {
		opened, err := config.Listen(context.Background(), "tcp", l.address)
		if err != nil {
			r.closeListeners()
			return figerror.Wrap(err, "listen for "+l.name, l.address)
		}
		*l.into = opened
		r.listeners = append(r.listeners, opened)
	}
	return nil
}

func (r *Router) closeListeners() {
	for _, l := range r.listeners {
		if err := l.Close(); err != nil {
			klog.InfoS("failed to close the listener", "address", l.Addr().String(), "err", err)
		}
	}
}

// connect creates the components and passes each the functions of other components that
// it calls.
func (r *Router) connect() {
	r.seeds.Store(&[]string{})
	r.drain.Store(&figproxy.Drain{})
	r.memory = figmemory.New(figmemory.Options{TotalBytes: r.heldBytes(), StallTime: r.StallTime, Now: r.clock.Now})
	r.catalogue = figcatalogue.New(figcatalogue.Options{
		Source: r.adapter.Source(r.Source), Clock: r.clock, QueryPeer: r.queryPeers,
		LogBytes: int64(r.MemoryMB) << 20 / logMemoryDivisor,
		IsReader: r.isReader, Follow: r.followReader,
		FetchFrom: func(ctx context.Context, from figview.Member, q *figcatalogue.FollowRequest) (*figcatalogue.FollowAnswer, error) {
			return figpeer.Call[figcatalogue.FollowRequest, figcatalogue.FollowAnswer](ctx, r.client, from, callFollow, q)
		},
	})
	r.metrics = figmetric.New(figmetric.Options{MaxOwnScopes: r.MetricAccounts})
	r.connectFleet()
	r.picker = figbalancer.New(figbalancer.Options{
		Random: rand.Float64, Members: r.discovery.MaxMembers, UseReports: true,
		OnLocalLoadChange: func(string, figview.ServerLoad) {},
	})
	r.connectOwners()
	r.sender = figsend.New(figsend.Options{
		Clock:                  r.clock,
		DialTimeout:            dialTimeout,
		PooledFirstByteTimeout: time.Minute, // the request's own timeouts are shorter
		IdleTimeout:            idleTimeout,
		MaxPooledConnections:   connectionsPerServer,
		MaxBodyBytes:           int64(r.MemoryMB) << 20 / answerMemoryDivisor,
		IDHeader:               r.adapter.Dialect.IDHeader,
		RequireID:              true,
		EndToEnd:               r.adapter.Dialect.EndToEnd,
		EventFields:            r.adapter.Dialect.EventFields,
		IsRefusal:              r.adapter.IsRefusal,
		MaySend:                r.maySend,
		OnAnswer:               r.recordNotices,
		AllowCloseDelimited:    true,
		Hold:                   figmemory.HoldAnswer,
	})
	r.proxy = &figproxy.Proxy{
		DataCentre:   r.DataCentre,
		Clock:        r.clock,
		Timer:        r.timer,
		Random:       rand.Float64,
		View:         r.catalogue.View,
		SourceOutage: r.catalogue.UnavailableFor,
		Picker:       r.picker,
		Placer:       r.placer,
		Quota:        r.quota,
		Quarantine:   r.quarantine,
		Retries: &figproxy.RetryBudgets{
			Fraction: retryLimitFraction * r.RetryFraction,
			Floor:    int(retryLimitFraction * float64(r.RetryFloor)),
			Members:  r.discovery.MaxMembers,
		},
		Tolerance:    figproxy.Tolerance{Window: r.RateWindow, Overage: r.RateOverage, Slack: r.RateSlack},
		Sender:       r.sender,
		Dialect:      r.adapter.Dialect,
		Draining:     func() figproxy.Drain { return *r.drain.Load() },
		Count:        func(name, label, value string) { r.metrics.Count(name, label, value, 1) },
		OnRequestEnd: r.metrics.RecordRequest,
	}
	r.roles = figrole.New(figrole.Options{
		Name:        r.Name,
		Clock:       r.clock,
		View:        r.catalogue.View,
		IsFirstSeed: r.isFirstSeed,
		Starting:    r.Starting,
		SendOrder: func(ctx context.Context, s *figcatalogue.Server, role figview.Role, fence uint64) error {
			return r.adapter.SendOrder(ctx, r.sender, r.Name, s, role, fence)
		},
		Coordinators: r.poolCoordinators,
		CoordinatorOf: func(v *figcatalogue.View, pool, lifetime string) string {
			m, _ := r.shares.Coordinator(v, pool, lifetime)
			return m.Name
		},
		AskWork: r.askWork,
	})
	r.callerWatch = figsend.NewCallerWatch()
	r.ingress = figingress.New(figingress.Options{
		Clock:       r.clock,
		Dialect:     r.adapter.Dialect,
		Serve:       r.proxy.Serve,
		Draining:    r.isDraining,
		Watch:       r.callerWatch.Add,
		Concurrency: r.concurrency(),
		BodyLimit:   r.MemoryMB << 20 / bodyMemoryDivisor,
		HeaderLimit: maxHeaderBytes,
		Budget:      r.memory,
		CountRefusal: func(cause string) {
			r.metrics.Count("arrivals_refused", "cause", cause, 1)
		},
	})
	r.ready = &figadmin.Admin{
		Ready:     r.Ready,
		ReadyPath: r.ReadyPath,
		Status:    r.status,
		Metrics:   r.metrics.Handler(),
		Fleet: &figadmin.Fleet{
			Self:  figview.Member{Name: r.Name, Address: r.PeerAddress(), DataCentre: r.DataCentre},
			Peers: r.discovery.Peers,
			Query: func(ctx context.Context, m figview.Member) (*figadmin.StatusAnswer, error) {
				return figpeer.Call[figadmin.StatusQuery, figadmin.StatusAnswer](ctx, r.client, m, callStatus, &figadmin.StatusQuery{})
			},
		},
	}
	r.admin = r.ready
}

// isFirstSeed reports whether the first address in the seeds file is this instance's.
func (r *Router) isFirstSeed() bool {
	seeds := *r.seeds.Load()
	return len(seeds) > 0 && seeds[0] == r.PeerAddress()
}

// queueLimits returns the limits of each pool's queue.
func (r *Router) queueLimits() figqueue.Options {
	return figqueue.Options{
		Clock:                   r.clock,
		MaxRequests:             queueRequests,
		MaxBytes:                int64(r.MemoryMB) << 20 / queueMemoryDivisor,
		MaxAccountRequests:      queueRequests,
		MaxAccountBytes:         int64(r.MemoryMB) << 20 / queueMemoryDivisor,
		MaxConcurrentPlacements: maxConcurrentPlacements,
	}
}

// Ready returns nil if the instance accepts callers, and otherwise an error with the reason.
func (r *Router) Ready() error {
	switch {
	case r.isDraining():
		return errors.New("draining")
	case !r.catalogue.Ready():
		return errors.New("the configuration and the servers are not known yet")
	}
	return nil
}

func (r *Router) isDraining() bool { return r.drain.Load().Active() }

// Run starts the services and serves until ctx ends or a service fails.
func (r *Router) Run(ctx context.Context) error { return r.kernel.Run(ctx) }

// IsUsable reports whether requests may be sent to the server of this name. It returns
// false for an unknown server.
func (r *Router) IsUsable(name string) bool {
	v := r.catalogue.View()
	for _, all := range v.Servers {
		for i := range all {
			if all[i].Name == name {
				return v.Usable(&all[i])
			}
		}
	}
	return false
}

// CallerAddress returns the address of the listener for callers.
func (r *Router) CallerAddress() string { return r.callers.Addr().String() }

// AdminAddress returns the address of the listener for operators.
func (r *Router) AdminAddress() string { return r.operators.Addr().String() }

// ReadyAddress returns the address of the listener for the load balancer's health check.
func (r *Router) ReadyAddress() string { return r.balancer.Addr().String() }

// PeerAddress returns the address at which other instances reach this one.
func (r *Router) PeerAddress() string { return cmp.Or(r.PeerAdvertise, r.peers.Addr().String()) }
