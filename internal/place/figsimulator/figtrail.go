package figsimulator

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"figtrail.dev/figtrail/internal/config/figtree"
	"figtrail.dev/figtrail/internal/fleet/figview"
	"figtrail.dev/figtrail/internal/place/figowner"
	"figtrail.dev/figtrail/internal/place/figplace"
)

const (
	// maxWaitShare is the fraction of the latency target after which a request in the queue is refused.
	maxWaitShare = 0.7
	// maxRetryPause is the longest time between two attempts to place the request at the head of a queue.
	maxRetryPause = 50 * time.Millisecond
	// prefixBlockTokens is the number of prompt tokens that one prefix hash covers.
	prefixBlockTokens = 256
)

// figtrailPolicy runs an owner and a placer for each instance. Messages between instances are direct calls;
// ownerMessages counts them, and their time is added before the request starts.
type figtrailPolicy struct {
	*runner
	view          *figview.View
	list          *figview.Servers
	tree          *figtree.Tree
	owners        map[string]*figowner.Owner
	placers       []*figplace.Placer
	queues        map[queueKey]*queue
	ownerMessages int
}

// queueKey identifies a queue by its instance and by the kind of its requests.
type queueKey struct {
	instance int
	plain    bool
}

// queue holds the requests of one instance that wait for capacity. retryScheduled is set while a timer is going
// to place the request at its head.
type queue struct {
	waiting        []*call
	retryScheduled bool
}

// prepareFigtrail is the prepare function of the policy Figtrail. It also schedules the periodic work of the
// instances.
func prepareFigtrail(r *runner) func(c *call) {
	o := &figtrailPolicy{
		runner: r, owners: map[string]*figowner.Owner{}, queues: map[queueKey]*queue{},
		list: &figview.Servers{Version: 1, All: r.servers},
	}
	o.publishTree()
	o.publishMembers()
	for i := range r.Instances {
		o.newInstance(i)
	}
	r.Every(200*time.Millisecond, o.publishChanges)
	r.Every(50*time.Millisecond, o.flush)
	r.Every(500*time.Millisecond, o.pollServers)
	return o.enqueue
}

// memberName returns the name of an instance. Servers are assigned to owners by hashes of these names, so other
// names would change the results.
func memberName(instance int) string { return "entry" + strconv.Itoa(instance) }

// publishTree publishes a configuration tree with the pools and data centres of the deployment.
func (o *figtrailPolicy) publishTree() {
	d := o.Deployment
	c := figtree.Contents{Pools: []*figtree.Pool{
		{
			ID: chatPool, BlockTokens: d.Spec.PieceTokens, FirstTokenTarget: d.FirstTokenTarget,
			InterTokenTarget: d.BetweenTokensTarget, PrefillResultTTL: d.Spec.ResultLifetime,
		},
		{ID: plainPool},
	}}
	for _, n := range d.DataCentres {
		c.DataCentres = append(c.DataCentres, figtree.DataCentre{Name: n, Region: "r", OutOfService: n == o.drained})
	}
	o.tree = figtree.New(1, c)
}

// publishMembers publishes the list of running instances.
func (o *figtrailPolicy) publishMembers() {
	version := uint64(1)
	if o.view != nil {
		version = o.view.Version + 1
	}
	var members []figview.Member
	for i := range o.Instances {
		if dc := o.dataCentreOf(i); dc != o.stopped {
			members = append(members, figview.Member{Name: memberName(i), DataCentre: dc})
		}
	}
	o.view = figview.NewView(version, members)
}

// newInstance adds the owner and the placer of an instance.
func (o *figtrailPolicy) newInstance(i int) {
	rng := rand.New(rand.NewPCG(uint64(i), 5))
	o.owners[memberName(i)] = figowner.New(figowner.Options{
		Self: memberName(i), Incarnation: uint64(i + 1), Clock: o.Clock(),
		View:              func() *figview.View { return o.view },
		Servers:           func() *figview.Servers { return o.list },
		Pool:              func(id string) (*figtree.Pool, bool) { return o.tree.Pool(id) },
		DataCentreDrained: func(n string) bool { return o.tree.DataCentreOutOfService(n) },
		ViewFresh:         func() bool { return true },
	})
	o.placers = append(o.placers, figplace.New(figplace.Options{
		Self: memberName(i), DataCentre: o.dataCentreOf(i), Clock: o.Clock(), Random: rng.Uint64,
		View:        func() *figview.View { return o.view },
		Servers:     func() *figview.Servers { return o.list },
		Tree:        func() *figtree.Tree { return o.tree },
		SendToOwner: o.sendToOwner,
	}))
}

// sendToOwner delivers a message to an owner and returns its reply.
func (o *figtrailPolicy) sendToOwner(ctx context.Context, m figview.Member, q *figowner.Request) (
	*figowner.Reply, error,
) {
	if m.DataCentre == o.stopped {
		return nil, errors.New("instance is stopped")
	}
	o.ownerMessages++
	return o.owners[m.Name].HandleReserve(ctx, q)
}

// publishChanges publishes a new tree if a data centre was drained or restored, and a new list of instances
// if their number has changed.
func (o *figtrailPolicy) publishChanges() {
	if o.tree.DataCentreOutOfService(o.drained) != (o.drained != "") || o.drained == "" && o.anyDrained() {
		o.publishTree()
	}
	if len(o.view.Members) != o.runningInstances() {
		o.publishMembers()
	}
}

// anyDrained reports whether the published tree has a drained data centre.
func (o *figtrailPolicy) anyDrained() bool {
	for _, d := range o.tree.DataCentres {
		if d.OutOfService {
			return true
		}
	}
	return false
}

// runningInstances returns the number of instances outside the stopped data centre.
func (o *figtrailPolicy) runningInstances() int {
	n := 0
	for i := range o.Instances {
		if o.dataCentreOf(i) != o.stopped {
			n++
		}
	}
	return n
}

// flush sends the due messages of all running instances.
func (o *figtrailPolicy) flush() {
	for i, p := range o.placers {
		if o.dataCentreOf(i) != o.stopped {
			p.Flush(context.Background())
		}
	}
}

// pollServers passes each server's report to its owner and cancels the requests that the owner returns.
func (o *figtrailPolicy) pollServers() {
	for _, s := range o.servers {
		m, ok := figowner.OwnerOf(o.view, s)
		if !ok || m.DataCentre == o.stopped {
			continue
		}
		var err error
		report := o.engines[s.Name].Report()
		if !o.engines[s.Name].Running() {
			err = errors.New("connection refused")
		}
		if report == nil && err == nil {
			continue
		}
		for _, id := range o.owners[m.Name].RecordPoll(s.Name, report, err) {
			o.engines[s.Name].Cancel(id)
		}
	}
}

// enqueue appends a request to its instance's queue. Model requests and plain requests have separate queues.
func (o *figtrailPolicy) enqueue(c *call) {
	k := queueKey{instance: c.instance, plain: c.Plain}
	q, ok := o.queues[k]
	if !ok {
		q = &queue{}
		o.queues[k] = q
	}
	q.waiting = append(q.waiting, c)
	if !q.retryScheduled {
		o.placeQueued(q)
	}
}

// placeQueued places the requests of a queue in order of arrival. If the first one must wait, a later call is
// scheduled.
func (o *figtrailPolicy) placeQueued(q *queue) {
	q.retryScheduled = false
	for len(q.waiting) > 0 {
		c := q.waiting[0]
		switch wait := o.tryPlace(c); {
		case wait <= 0:
			q.waiting = q.waiting[1:]
		default:
			q.retryScheduled = true
			o.After(min(wait, maxRetryPause), func() { o.placeQueued(q) })
			return
		}
	}
}

// tryPlace places one request. It returns the time to wait before the next attempt, or zero if the request was
// placed, refused or has already ended.
func (o *figtrailPolicy) tryPlace(c *call) time.Duration {
	if c.ended {
		return 0
	}
	target, pool := o.FirstTokenTarget, chatPool
	if c.Plain {
		target, pool = o.PlainTarget, plainPool
	}
	messagesBefore := o.ownerMessages
	placement, err := o.placers[c.instance].Place(context.Background(), figplace.Request{
		ID: c.id, Pool: pool, PromptTokens: c.PromptTokens, OutputTokens: o.OutputLimit,
		Prefix: c.prefixes(), Arrived: epoch.Add(c.At),
		Deadline: epoch.Add(c.At + o.ClientTimeout), ExcludedServers: c.excludedServers,
	})
	if err == nil {
		o.startPlaced(c, placement, time.Duration(o.ownerMessages-messagesBefore)*roundTripTime)
		return 0
	}
	if o.now-c.At > time.Duration(maxWaitShare*float64(target)) {
		o.end(c, false)
		return 0
	}
	var full *figplace.NoCapacityError
	if errors.As(err, &full) && !full.TooLate {
		return full.RetryAfter
	}
	o.end(c, false)
	return 0
}

// startPlaced starts a placed request one round trip after the placement's start time, or after messageTime, the
// duration of the messages to owners, if that is later.
func (o *figtrailPolicy) startPlaced(c *call, placement *figplace.Placement, messageTime time.Duration) {
	c.decode = o.engines[placement.Decode.Name]
	if !c.Plain {
		c.prefill = o.engines[placement.Prefill.Name]
	}
	c.release, c.prefillDone, c.transferDone, c.setGeneratedTokens =
		placement.Release, placement.PrefillDone, placement.TransferDone, placement.SetGeneratedTokens
	c.reportFailure = func(server string, outcome Outcome) {
		kind := figowner.ResultExpired
		if outcome == ProcessEnded {
			kind = figowner.Unreachable
		}
		placement.ReportFailure(server, kind)
	}
	o.After(max(messageTime, placement.StartPrefillAt.Sub(o.Now()))+roundTripTime, func() {
		if !c.ended {
			o.start(c)
		}
	})
}

// prefixes returns the hashes of the prompt's blocks. Blocks of the common prefix have the same hashes in all
// prompts of a prefix group.
func (c *call) prefixes() []uint64 {
	shared := int(c.SharedTokens / prefixBlockTokens)
	hashes := make([]uint64, 0, c.PromptTokens/prefixBlockTokens)
	for i := range int(c.PromptTokens / prefixBlockTokens) {
		key := uint64(c.PrefixGroup)<<16 | uint64(i)
		if i >= shared {
			key = uint64(c.At)<<8 | uint64(i) | 1<<63
		}
		hashes = append(hashes, key*0x9e3779b97f4a7c15)
	}
	return hashes
}
