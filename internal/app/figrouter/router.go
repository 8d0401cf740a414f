// Package figrouter is one instance of figtrail on a platform that publishes
// declarations by host and path and no list of instances. It makes the parts, joins
// them by their function fields, registers them as services of the kernel, and
// drains them in order at the end. What it knows of the platform comes in as an
// Adapter.
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
	"figtrail.dev/figtrail/internal/fleet/figdiscovery"
	"figtrail.dev/figtrail/internal/fleet/figpeer"
	"figtrail.dev/figtrail/internal/fleet/figview"
	"figtrail.dev/figtrail/internal/limit/figlimiter"
	"figtrail.dev/figtrail/internal/limit/figqueue"
	"figtrail.dev/figtrail/internal/place/figbalancer"
	"figtrail.dev/figtrail/internal/place/figrole"
	"figtrail.dev/figtrail/internal/request/figproxy"
	"figtrail.dev/figtrail/internal/request/figsend"
)

// Names of the calls between instances.
const (
	callBeat = "beat"
	callNews = "news"
	callView = "view"
	// callStatus asks for the status, for an operator.
	callStatus = "status"
)

const (
	// retryPart is the part of the retry bounds that is used: the counts of the
	// instances lag behind each other.
	retryPart = 0.7
	// connectionsPerServer bounds the connections to one server: what it declares
	// for all callers, shared by today's instances.
	connectionsPerServer = 12
	// dialLimit bounds the making of a connection: hundreds of round trips.
	dialLimit = 300 * time.Millisecond
	// idleLimit is how long an unused connection to a server is kept.
	idleLimit = 15 * time.Second
	// headerLimit bounds a caller's header, in bytes: what operators declare today.
	headerLimit = 16 << 10
	// bodyPart is the part of the memory that one body may have.
	bodyPart = 16
	// concurrencyPart is the part of the descriptors that callers may have; the
	// others are for servers, peers and files.
	concurrencyPart = 2
	// watchInterval is the time between two looks at callers' connections. A server
	// must be free of a caller who left within half a second.
	watchInterval = 150 * time.Millisecond
	// seedsInterval is how often the seeds file is read again, since it may change
	// without a signal.
	seedsInterval = 5 * time.Second
	// queueRequests bounds the waiting requests of a pool, queuePart the part of the
	// memory that they may have.
	queueRequests = 400
	queuePart     = 8
	// roomPause is the mean time, for each instance, after which a queue without room
	// looks for room that others have freed: half of the 10 ms that their news takes.
	// roomPauseMost bounds it where there are many instances: a ninth of the target.
	roomPause     = 5 * time.Millisecond
	roomPauseMost = 100 * time.Millisecond
	// queuePlacing bounds the requests of a pool that are being placed at once;
	// choosing a server takes microseconds.
	queuePlacing = 2
	// othersAsked bounds the instances that are asked in place of the source, and
	// othersLimit the wait for each.
	othersAsked = 3
	othersLimit = 300 * time.Millisecond
	// endMargin is what is left of the grace when the last requests are cut.
	endMargin = 500 * time.Millisecond
)

// Router is one instance.
type Router struct {
	Settings

	// DroppedLines returns how many log lines were dropped. It may be set before Run.
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
	beats       *figdiscovery.Discovery
	ledger      *figlimiter.Limiter
	picker      *figbalancer.Picker
	queues      *figqueue.Set
	sender      *figsend.Sender
	metrics     *figmetric.Metrics
	flow        *figproxy.Proxy
	stages      *figrole.Controller
	watch       *figsend.CallerWatch
	gate        *figingress.Gate
	ready       *figadmin.Admin
	admin       *figadmin.Admin
	seeds       atomic.Pointer[[]string]
	draining    atomic.Bool
}

// New opens the addresses and joins the parts. Nothing runs yet.
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
	r.join()
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
			klog.InfoS("closing a listener failed", "address", l.Addr().String(), "err", err)
		}
	}
}

// join makes the parts and gives each the functions of the others that it needs.
func (r *Router) join() {
	r.seeds.Store(&[]string{})
	r.catalogue = figcatalogue.New(figcatalogue.Options{Source: r.adapter.Source(r.Source), Clock: r.clock, QueryPeer: r.askOthers})
	r.metrics = figmetric.New(figmetric.Options{MaxOwnScopes: r.MetricAccounts})
	r.ledger = figlimiter.New()
	r.joinFleet()
	r.picker = figbalancer.New(figbalancer.Options{Random: rand.Float64, Members: r.beats.MaxMembers, Isolated: r.beats.Isolated, OnLocalLoadChange: r.changed})
	r.queues = figqueue.NewSet(r.timer, r.newQueue)
	r.sender = figsend.New(figsend.Options{
		Clock:                  r.clock,
		DialTimeout:            dialLimit,
		PooledFirstByteTimeout: time.Minute, // the request's own limits bound the wait
		IdleTimeout:            idleLimit,
		MaxPooledConnections:   connectionsPerServer,
		IDHeader:               r.adapter.Dialect.IDHeader,
		IsRefusal:              r.adapter.Refused,
		AllowCloseDelimited:    true,
	})
	r.flow = &figproxy.Proxy{
		DataCentre:   r.DataCentre,
		Clock:        r.clock,
		Timer:        r.timer,
		Random:       rand.Float64,
		View:         r.catalogue.View,
		SourceOutage: r.catalogue.UnavailableFor,
		Picker:       r.picker,
		Limiter:      r.ledger,
		Retries: &figproxy.RetryBudgets{
			Fraction: retryPart * r.RetryFraction,
			Floor:    int(retryPart * float64(r.RetryFloor)),
			Members:  r.beats.MaxMembers,
		},
		Tolerance:    figproxy.Tolerance{Window: r.RateWindow, Overage: r.RateOverage, Slack: r.RateSlack},
		Queue:        r.queues.ForPool,
		Sender:       r.sender,
		Dialect:      r.adapter.Dialect,
		Count:        func(name, label, value string) { r.metrics.Count(name, label, value, 1) },
		RateShare:    r.beats.LimitShare,
		Isolated:     r.beats.Isolated,
		OnRequestEnd: r.metrics.RecordRequest,
	}
	r.stages = figrole.New(figrole.Options{
		Name:        r.Name,
		Clock:       r.clock,
		View:        r.catalogue.View,
		IsFirstSeed: r.firstSeed,
		Starting:    r.Starting,
		SendOrder: func(ctx context.Context, s *figcatalogue.Server, role figview.Role, fence uint64) error {
			return r.adapter.Order(ctx, r.sender, r.Name, s, role, fence)
		},
	})
	r.watch = figsend.NewCallerWatch()
	r.gate = figingress.New(figingress.Options{
		Clock:       r.clock,
		Dialect:     r.adapter.Dialect,
		Serve:       r.flow.Serve,
		Draining:    r.draining.Load,
		Watch:       r.watch.Add,
		Concurrency: r.Descriptors / concurrencyPart,
		BodyLimit:   r.MemoryMB << 20 / bodyPart,
		HeaderLimit: headerLimit,
	})
	r.ready = &figadmin.Admin{
		Ready:     r.Ready,
		ReadyPath: r.ReadyPath,
		Status:    r.status,
		Metrics:   r.metrics.Handler(),
		Fleet: &figadmin.Fleet{
			Self:  figview.Member{Name: r.Name, Address: r.peers.Addr().String(), DataCentre: r.DataCentre},
			Peers: r.beats.Peers,
			Query: func(ctx context.Context, m figview.Member) (*figadmin.StatusAnswer, error) {
				return figpeer.Call[figadmin.StatusQuery, figadmin.StatusAnswer](ctx, r.client, m, callStatus, &figadmin.StatusQuery{})
			},
		},
	}
	r.admin = r.ready
}

func (r *Router) joinFleet() {
	r.handlers = figpeer.NewHandlers()
	r.client = figpeer.NewClient(figpeer.ClientOptions{})
	r.beats = figdiscovery.New(figdiscovery.Options{
		Self:           figdiscovery.Member{Name: r.Name, Address: r.peers.Addr().String(), DataCentre: r.DataCentre, Incarnation: r.incarnation},
		Clock:          r.clock,
		Seeds:          func() []string { return *r.seeds.Load() },
		Spent:          r.ledger.Report,
		OnSpent:        r.ledger.ApplyReport,
		InitialMembers: r.Instances,
		LocalLoad:      func() map[string]figview.ServerLoad { return r.picker.LocalLoad() },
		OnPeerLoad:     r.heardHeld,
		SendUpdate: func(ctx context.Context, m figview.Member, n *figdiscovery.LoadUpdate) (*figdiscovery.Ack, error) {
			return figpeer.Call[figdiscovery.LoadUpdate, figdiscovery.Ack](ctx, r.client, m, callNews, n)
		},
		Exchange: func(ctx context.Context, m figview.Member, b *figdiscovery.Heartbeat) (*figdiscovery.Heartbeat, error) {
			return figpeer.Call[figdiscovery.Heartbeat, figdiscovery.Heartbeat](ctx, r.client, m, callBeat, b)
		},
	})
	figpeer.Handle(r.handlers, callBeat, r.beats.HandleHeartbeat)
	figpeer.Handle(r.handlers, callNews, r.beats.HandleUpdate)
	figpeer.Handle(r.handlers, callView, r.catalogue.Answer)
	figpeer.Handle(r.handlers, callStatus, figadmin.AnswerStatus(r.status))
}

// askOthers asks other instances one by one for what they have in force, until one
// answers.
func (r *Router) askOthers(ctx context.Context, q *figcatalogue.SnapshotRequest) (s *figcatalogue.Snapshot, from string, err error) {
	err = errors.New("no other instance is known")
	for i, m := range r.beats.Peers() {
		if i == othersAsked {
			break
		}
		limited, cancel := context.WithTimeout(ctx, othersLimit)
		s, err = figpeer.Call[figcatalogue.SnapshotRequest, figcatalogue.Snapshot](limited, r.client, m, callView, q)
		cancel()
		if err == nil {
			return s, m.Name, nil
		}
	}
	return nil, "", err
}

// firstSeed says whether this instance stands first among the seeds.
func (r *Router) firstSeed() bool {
	seeds := *r.seeds.Load()
	return len(seeds) > 0 && seeds[0] == r.peers.Addr().String()
}

// changed lets waiting requests try for room that has come free, and tells the
// other instances.
func (r *Router) changed(lifetime string, h figview.ServerLoad) {
	r.beats.QueueLoadUpdate(lifetime, h)
	r.queues.Wake()
}

// heardHeld takes what another instance has in progress. Waiting requests don't try at
// once for room that is heard of: all instances would at the same moment, and engines
// would turn down all but one after their prompts had been computed.
func (r *Router) heardHeld(now time.Time, from string, incarnation uint64, held map[string]figview.ServerLoad, whole bool) {
	r.picker.RecordPeerLoad(now, from, incarnation, held, whole)
}

// newQueue returns the queue of a pool.
func (r *Router) newQueue(string) *figqueue.Queue {
	return figqueue.New(figqueue.Options{
		Clock:                   r.clock,
		MaxRequests:             queueRequests,
		MaxBytes:                int64(r.MemoryMB) << 20 / queuePart,
		MaxAccountRequests:      queueRequests,
		MaxAccountBytes:         int64(r.MemoryMB) << 20 / queuePart,
		MaxConcurrentPlacements: queuePlacing,
		RetryPause:              r.pauseForRoom,
	})
}

// pauseForRoom returns how long a queue leaves room to the other instances.
func (r *Router) pauseForRoom() time.Duration {
	mean := min(roomPauseMost, time.Duration(r.beats.MaxMembers(r.clock.Now()))*roomPause)
	return time.Duration((0.5 + rand.Float64()) * float64(mean))
}

// Ready returns nil when callers may be sent here, or the reason why not.
func (r *Router) Ready() error {
	switch {
	case r.draining.Load():
		return errors.New("draining")
	case !r.catalogue.Ready():
		return errors.New("the configuration and the servers are not known yet")
	}
	return nil
}

// Run serves until ctx ends or a part fails.
func (r *Router) Run(ctx context.Context) error { return r.kernel.Run(ctx) }

// Lists says whether the server called name may be sent work.
func (r *Router) Lists(name string) bool {
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

// CallerAddress returns the address that callers use.
func (r *Router) CallerAddress() string { return r.callers.Addr().String() }

// AdminAddress returns the address that operators use.
func (r *Router) AdminAddress() string { return r.operators.Addr().String() }

// ReadyAddress returns the address that the balancer uses.
func (r *Router) ReadyAddress() string { return r.balancer.Addr().String() }

// PeerAddress returns the address that the other instances use.
func (r *Router) PeerAddress() string { return r.peers.Addr().String() }
