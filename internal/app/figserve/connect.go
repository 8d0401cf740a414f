package figserve

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"figtrail.dev/figtrail/internal/config/figplatform"
	"figtrail.dev/figtrail/internal/config/figstore"
	"figtrail.dev/figtrail/internal/config/figtree"
	"figtrail.dev/figtrail/internal/core/figtimer"
	"figtrail.dev/figtrail/internal/core/figworker"
	"figtrail.dev/figtrail/internal/edge/figadmin"
	"figtrail.dev/figtrail/internal/edge/figfront"
	"figtrail.dev/figtrail/internal/edge/figmetric"
	"figtrail.dev/figtrail/internal/engine/figengine"
	"figtrail.dev/figtrail/internal/fleet/figmember"
	"figtrail.dev/figtrail/internal/fleet/figpeer"
	"figtrail.dev/figtrail/internal/fleet/figview"
	"figtrail.dev/figtrail/internal/limit/figbudget"
	"figtrail.dev/figtrail/internal/limit/figkey"
	"figtrail.dev/figtrail/internal/limit/figmemory"
	"figtrail.dev/figtrail/internal/limit/figqueue"
	"figtrail.dev/figtrail/internal/place/figowner"
	"figtrail.dev/figtrail/internal/place/figplace"
	"figtrail.dev/figtrail/internal/request/figlifecycle"
	"figtrail.dev/figtrail/internal/request/figpipeline"
	"figtrail.dev/figtrail/internal/request/figsend"
)

// Names of the calls between instances, as sent on the wire.
const (
	callBeat    = "beat"
	callBudget  = "budget"
	callConfig  = "config"
	callReserve = "reserve"
	callStatus  = "status"
)

const (
	// retryFraction is the number of retries that each successful request allows.
	retryFraction = 0.1
	// minRetries is the number of retries allowed in ten seconds without any success.
	minRetries = 10
	// defaultQueueRequests is the maximum number of waiting requests of a pool that
	// declares no queue limit.
	defaultQueueRequests = 1000
	// queueBytes is the maximum total size of the waiting requests' bodies of a pool.
	queueBytes = 64 << 20
	// accountQueueDivisor limits one client account to half of a queue.
	accountQueueDivisor = 2
	// maxConcurrentPlacements is the maximum number of concurrent placement attempts of
	// a pool.
	maxConcurrentPlacements = 16
	// backoffBase and backoffLimit are the base and the upper limit of the exponential
	// backoff between retries.
	backoffBase  = 20 * time.Millisecond
	backoffLimit = time.Second
)

// connect creates the components and passes each the functions of other components that
// it calls.
func (i *Instance) connect() error {
	i.metrics = figmetric.New(figmetric.Options{MaxOwnScopes: i.MetricAccounts})
	i.handlers = figpeer.NewHandlers()
	i.client = figpeer.NewClient(figpeer.ClientOptions{})
	i.sender = figsend.New(figsend.Options{Clock: i.clock, MaxBodyBytes: i.AnswerLimit, Hold: figmemory.HoldAnswer})
	i.engine = figengine.OpenAI(i.sender)
	i.running = figkey.NewRunningRequests()
	i.connectFleet()
	i.connectLimits()
	i.connectPlacement()
	if err := i.connectRequests(); err != nil {
		return err
	}
	i.admin = &figadmin.Admin{Ready: i.Ready, Status: i.status, Metrics: i.metrics.Handler(), Fleet: i.fleet()}
	return nil
}

// fleet registers the handler of the status call and returns the figadmin.Fleet for
// /status/all, which queries the instances on the published list.
func (i *Instance) fleet() *figadmin.Fleet {
	figpeer.Handle(i.handlers, callStatus, figadmin.AnswerStatus(i.status))
	return &figadmin.Fleet{
		Self: figview.Member{Name: i.Name, Address: i.peers.Addr().String(), DataCentre: i.DataCentre},
		Peers: func() []figview.Member {
			return slices.DeleteFunc(slices.Clone(i.store.View().Members), func(m figview.Member) bool { return m.Name == i.Name })
		},
		Query: func(ctx context.Context, m figview.Member) (*figadmin.StatusAnswer, error) {
			return figpeer.Call[figadmin.StatusQuery, figadmin.StatusAnswer](ctx, i.client, m, callStatus, &figadmin.StatusQuery{})
		},
	}
}

// peerCall registers answer under name as the handler of a call between instances, and
// returns a function that makes this call to an instance. A call to the own instance runs
// answer directly.
func peerCall[Q, R any](i *Instance, name string, answer func(context.Context, *Q) (*R, error)) func(context.Context, figview.Member, *Q) (*R, error) {
	figpeer.Handle(i.handlers, name, answer)
	return func(ctx context.Context, m figview.Member, q *Q) (*R, error) {
		if m.Name == i.Name {
			return answer(ctx, q)
		}
		return figpeer.Call[Q, R](ctx, i.client, m, name, q)
	}
}

func (i *Instance) connectFleet() {
	i.store = figstore.New(figstore.Options{
		Self:           i.Name,
		Clock:          i.clock,
		Platform:       figplatform.HTTP(i.Platform),
		Seeds:          i.seeds(),
		PeerAnsweredAt: func() time.Time { return i.member.ConfirmedElsewhere() },
		SendRequest: peerCall(i, callConfig, func(ctx context.Context, q *figstore.Request) (*figstore.Reply, error) {
			return i.store.Answer(ctx, q)
		}),
	})
	i.member = figmember.New(figmember.Options{
		Self:        figview.Member{Name: i.Name, Address: i.PeerAddress(), DataCentre: i.DataCentre},
		Incarnation: uint64(time.Now().UnixMilli()),
		Clock:       i.clock,
		Random:      rand.Float64,
		View:        i.store.View,
		Confirmed:   i.store.Confirmed,
		Digest:      i.store.Digest,
		OnHeartbeat: func(m figview.Member, b *figmember.Heartbeat) {
			i.store.PullIfBehind(m, b.Highest, b.Digest, b.View)
		},
		SendHeartbeat: peerCall(i, callBeat, func(ctx context.Context, q *figmember.Heartbeat) (*figmember.Heartbeat, error) {
			return i.member.HandleHeartbeat(ctx, q)
		}),
	})
}

// seeds returns the configured seed addresses as members, to be asked while this instance
// has no list of instances. The address serves as the name.
func (i *Instance) seeds() []figview.Member {
	members := make([]figview.Member, 0, len(i.Seeds))
	for _, address := range i.Seeds {
		members = append(members, figview.Member{Name: address, Address: address})
	}
	return members
}

func (i *Instance) connectLimits() {
	i.budget = figbudget.New(figbudget.Options{
		Self:        i.Name,
		Incarnation: i.incarnation,
		Clock:       i.clock,
		View:        i.store.View,
		Fresh:       i.member.Fresh,
		AllAcked:    i.member.AllAcked,
		Limits:      i.limits,
		Call: peerCall(i, callBudget, func(ctx context.Context, q *figbudget.Request) (*figbudget.Reply, error) {
			return i.budget.Answer(ctx, q)
		}),
	})
	i.queues = figqueue.NewSet(i.timer, i.newQueue)
}

// newQueue creates the queue of a pool, with the pool's queue limit if it declares one.
func (i *Instance) newQueue(pool string) *figqueue.Queue {
	requests := defaultQueueRequests
	if p, ok := i.store.Tree().Pool(pool); ok && p.QueueLimit > 0 {
		requests = p.QueueLimit
	}
	return figqueue.New(figqueue.Options{
		Clock:                   i.clock,
		MaxRequests:             requests,
		MaxBytes:                queueBytes,
		MaxAccountRequests:      max(1, requests/accountQueueDivisor),
		MaxAccountBytes:         queueBytes / accountQueueDivisor,
		MaxConcurrentPlacements: maxConcurrentPlacements,
	})
}

// limits returns the token rate and burst of a client account, and false if the account
// is unknown.
func (i *Instance) limits(account string) (figbudget.Limits, bool) {
	t := i.store.Tree()
	a, ok := t.Account(account)
	if !ok {
		return figbudget.Limits{}, false
	}
	return figbudget.Limits{TokensPerSecond: a.TokensPerSecond, Burst: a.Burst}, true
}

func (i *Instance) connectPlacement() {
	i.owner = figowner.New(figowner.Options{
		Self:              i.Name,
		Incarnation:       i.incarnation,
		Clock:             i.clock,
		View:              i.store.View,
		Servers:           i.store.Servers,
		Pool:              func(id string) (*figtree.Pool, bool) { return i.store.Tree().Pool(id) },
		DataCentreDrained: func(name string) bool { return i.store.Tree().DataCentreOutOfService(name) },
		ViewFresh:         i.member.Fresh,
		Poll:              i.pollServer,
		Cancel:            i.engine.Cancel,
		SendOrder:         i.sendOrder,
	})
	i.placer = figplace.New(figplace.Options{
		Self:        i.Name,
		DataCentre:  i.DataCentre,
		Clock:       i.clock,
		Random:      rand.Uint64,
		View:        i.store.View,
		Servers:     i.store.Servers,
		Tree:        i.store.Tree,
		SendToOwner: peerCall(i, callReserve, i.owner.HandleReserve),
	})
}

func (i *Instance) connectRequests() error {
	var err error
	if i.workers, err = figworker.New(i.Workers); err != nil {
		return err
	}
	i.pipeline = &figpipeline.Pipeline{
		Clock:           i.clock,
		Timer:           i.timer,
		Reserve:         i.budget.Reserve,
		Queue:           i.queues.ForPool,
		Place:           i.placer.Place,
		Engine:          i.engine,
		Sender:          i.sender,
		RunningRequests: i.running,
		Retries:         &figsend.RetryBudget{Fraction: retryFraction, MinRetries: minRetries},
		Backoff:         figtimer.Backoff{Base: backoffBase, Limit: backoffLimit},
		MaxBodyBytes:    i.AnswerLimit,
		Hold:            figmemory.HoldAnswer,
		OnRequestEnd:    i.onRequestEnd,
	}
	i.callerWatch = figsend.NewCallerWatch()
	i.front = figfront.New(figfront.Options{
		Name:              i.Name,
		Incarnation:       i.incarnation,
		Clock:             i.clock,
		Tree:              i.store.Tree,
		Run:               i.runCall,
		OnRefused:         i.onRefused,
		OnKeyRefused:      func(r figkey.Reason) { i.metrics.Count("keys_refused", "reason", r.String(), 1) },
		Draining:          i.draining.Load,
		Workers:           i.workers,
		Watch:             i.callerWatch.Add,
		BodyLimit:         i.BodyLimit,
		HeaderLimit:       i.HeaderLimit,
		Hold:              i.holdBody,
		SlowCallerTimeout: i.SlowCaller,
	})
	return nil
}

// onRequestEnd records the metrics of a request that ended and wakes the queues, because
// the request may have freed capacity.
func (i *Instance) onRequestEnd(r figmetric.Request) {
	i.metrics.RecordRequest(r)
	i.queues.Wake()
}

// onRefused records the metrics of a refused request. The account a is nil if it is unknown.
func (i *Instance) onRefused(a *figtree.Account, r *figlifecycle.Result) {
	m := figmetric.Request{Outcome: r.Outcome.String(), Reason: r.Reason.String()}
	if a != nil {
		m.Account, m.Class = a.ID, a.Class
	}
	i.metrics.RecordRequest(m)
}
