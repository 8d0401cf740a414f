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
	"figtrail.dev/figtrail/internal/limit/figqueue"
	"figtrail.dev/figtrail/internal/place/figowner"
	"figtrail.dev/figtrail/internal/place/figplace"
	"figtrail.dev/figtrail/internal/request/figlifecycle"
	"figtrail.dev/figtrail/internal/request/figpipeline"
	"figtrail.dev/figtrail/internal/request/figsend"
)

// Names of the calls between instances.
const (
	callBeat    = "beat"
	callBudget  = "budget"
	callConfig  = "config"
	callReserve = "reserve"
	callStatus  = "status"
)

const (
	// retryFraction is how many retries each success allows.
	retryFraction = 0.1
	// retryFloor is how many retries ten seconds allow without any success.
	retryFloor = 10
	// queueRequests bounds the waiting requests of a pool that declares no bound.
	queueRequests = 1000
	// queueBytes bounds the bodies of a pool's waiting requests.
	queueBytes = 64 << 20
	// accountShare is the part of a queue that one account may fill: one half.
	accountShare = 2
	// queuePlacing bounds the requests of a pool that are being placed at once.
	queuePlacing = 16
	// backoffBase and backoffLimit bound the wait before a retry.
	backoffBase  = 20 * time.Millisecond
	backoffLimit = time.Second
)

// join makes the parts and gives each the functions of the others that it needs.
func (i *Instance) join() error {
	i.metrics = figmetric.New(figmetric.Options{MaxOwnScopes: i.MetricAccounts})
	i.handlers = figpeer.NewHandlers()
	i.client = figpeer.NewClient(figpeer.ClientOptions{})
	i.sender = figsend.New(figsend.Options{Clock: i.clock, MaxBodyBytes: i.AnswerLimit})
	i.engine = figengine.OpenAI(i.sender)
	i.sessions = figkey.NewRunningRequests()
	i.joinFleet()
	i.joinLimits()
	i.joinPlaces()
	if err := i.joinRequests(); err != nil {
		return err
	}
	i.admin = &figadmin.Admin{Ready: i.Ready, Status: i.status, Metrics: i.metrics.Handler(), Fleet: i.fleet()}
	return nil
}

// fleet asks the listed instances for their statuses.
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

// asker returns the function by which a part asks its like on other instances.
// An instance that asks itself does so without a message.
func asker[Q, R any](i *Instance, name string, answer func(context.Context, *Q) (*R, error)) func(context.Context, figview.Member, *Q) (*R, error) {
	figpeer.Handle(i.handlers, name, answer)
	return func(ctx context.Context, m figview.Member, q *Q) (*R, error) {
		if m.Name == i.Name {
			return answer(ctx, q)
		}
		return figpeer.Call[Q, R](ctx, i.client, m, name, q)
	}
}

func (i *Instance) joinFleet() {
	i.store = figstore.New(figstore.Options{
		Self:           i.Name,
		Clock:          i.clock,
		Platform:       figplatform.HTTP(i.Platform),
		Seeds:          i.seeds(),
		PeerAnsweredAt: func() time.Time { return i.member.ConfirmedElsewhere() },
		SendRequest: asker(i, callConfig, func(ctx context.Context, q *figstore.Request) (*figstore.Reply, error) {
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
		SendHeartbeat: asker(i, callBeat, func(ctx context.Context, q *figmember.Heartbeat) (*figmember.Heartbeat, error) {
			return i.member.HandleHeartbeat(ctx, q)
		}),
	})
}

// seeds returns the instances to ask while no list of instances is known.
func (i *Instance) seeds() []figview.Member {
	members := make([]figview.Member, 0, len(i.Seeds))
	for _, address := range i.Seeds {
		members = append(members, figview.Member{Name: address, Address: address})
	}
	return members
}

func (i *Instance) joinLimits() {
	i.budget = figbudget.New(figbudget.Options{
		Self:        i.Name,
		Incarnation: i.incarnation,
		Clock:       i.clock,
		View:        i.store.View,
		Fresh:       i.member.Fresh,
		AllAcked:    i.member.AllAcked,
		Limits:      i.limits,
		Call: asker(i, callBudget, func(ctx context.Context, q *figbudget.Request) (*figbudget.Reply, error) {
			return i.budget.Answer(ctx, q)
		}),
	})
	i.queues = figqueue.NewSet(i.timer, i.newQueue)
}

// newQueue returns the queue of a pool, with the bounds that the pool declares.
func (i *Instance) newQueue(pool string) *figqueue.Queue {
	requests := queueRequests
	if p, ok := i.store.Tree().Pool(pool); ok && p.QueueLimit > 0 {
		requests = p.QueueLimit
	}
	return figqueue.New(figqueue.Options{
		Clock:                   i.clock,
		MaxRequests:             requests,
		MaxBytes:                queueBytes,
		MaxAccountRequests:      max(1, requests/accountShare),
		MaxAccountBytes:         queueBytes / accountShare,
		MaxConcurrentPlacements: queuePlacing,
	})
}

// limits returns what an account may spend.
func (i *Instance) limits(account string) (figbudget.Limits, bool) {
	t := i.store.Tree()
	a, ok := t.Account(account)
	if !ok {
		return figbudget.Limits{}, false
	}
	return figbudget.Limits{TokensPerSecond: a.TokensPerSecond, Burst: a.Burst}, true
}

func (i *Instance) joinPlaces() {
	i.owner = figowner.New(figowner.Options{
		Self:              i.Name,
		Incarnation:       i.incarnation,
		Clock:             i.clock,
		View:              i.store.View,
		Servers:           i.store.Servers,
		Pool:              func(id string) (*figtree.Pool, bool) { return i.store.Tree().Pool(id) },
		DataCentreDrained: func(name string) bool { return i.store.Tree().DataCentreOutOfService(name) },
		ViewFresh:         i.member.Fresh,
		Poll:              i.load,
		Cancel:            i.engine.Cancel,
		SendOrder:         i.order,
	})
	i.placer = figplace.New(figplace.Options{
		Self:        i.Name,
		DataCentre:  i.DataCentre,
		Clock:       i.clock,
		Random:      rand.Uint64,
		View:        i.store.View,
		Servers:     i.store.Servers,
		Tree:        i.store.Tree,
		SendToOwner: asker(i, callReserve, i.owner.HandleReserve),
	})
}

func (i *Instance) joinRequests() error {
	var err error
	if i.workers, err = figworker.New(i.Workers); err != nil {
		return err
	}
	i.flow = &figpipeline.Pipeline{
		Clock:           i.clock,
		Timer:           i.timer,
		Reserve:         i.budget.Reserve,
		Queue:           i.queues.ForPool,
		Place:           i.placer.Place,
		Engine:          i.engine,
		Sender:          i.sender,
		RunningRequests: i.sessions,
		Retries:         &figsend.RetryBudget{Fraction: retryFraction, MinRetries: retryFloor},
		Backoff:         figtimer.Backoff{Base: backoffBase, Limit: backoffLimit},
		MaxBodyBytes:    i.AnswerLimit,
		OnRequestEnd:    i.ended,
	}
	i.watch = figsend.NewCallerWatch()
	i.front = figfront.New(figfront.Options{
		Name:        i.Name,
		Incarnation: i.incarnation,
		Clock:       i.clock,
		Tree:        i.store.Tree,
		Run:         i.flow.Run,
		Refused:     i.refused,
		KeyRefused:  func(r figkey.Reason) { i.metrics.Count("keys_refused", "reason", r.String(), 1) },
		Draining:    i.draining.Load,
		Workers:     i.workers,
		Watch:       i.watch.Add,
		BodyLimit:   i.BodyLimit,
		HeaderLimit: i.HeaderLimit,
		SlowCaller:  i.SlowCaller,
	})
	return nil
}

// ended counts a request and lets waiting ones try for the room that it left.
func (i *Instance) ended(r figmetric.Request) {
	i.metrics.RecordRequest(r)
	i.queues.Wake()
}

func (i *Instance) refused(a *figtree.Account, r *figlifecycle.Result) {
	m := figmetric.Request{Outcome: r.Outcome.String(), Reason: r.Reason.String()}
	if a != nil {
		m.Account, m.Class = a.ID, a.Class
	}
	i.metrics.RecordRequest(m)
}
