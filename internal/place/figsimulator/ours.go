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
	// waitShare is the part of a latency target that a request may wait for room.
	waitShare = 0.7
	// longestPause bounds the pause between two tries of the request at the head.
	longestPause = 50 * time.Millisecond
	// prefixBlockTokens is the length of a prefix block of the fakes' prompts.
	prefixBlockTokens = 256
)

// ours holds the instances of a run.
type ours struct {
	*runner
	view    *figview.View
	list    *figview.Servers
	tree    *figtree.Tree
	owners  map[string]*figowner.Owner
	placers []*figplace.Placer
	queues  map[queueKey]*queue
	asks    int
}

type queueKey struct {
	entry int
	plain bool
}

// queue holds the requests of one instance that wait for room.
type queue struct {
	calls   []*call
	pending bool
}

func prepareOurs(r *runner) func(c *call) {
	o := &ours{
		runner: r, owners: map[string]*figowner.Owner{}, queues: map[queueKey]*queue{},
		list: &figview.Servers{Version: 1, All: r.servers},
	}
	o.declare()
	o.listMembers()
	for i := range r.Entries {
		o.newInstance(i)
	}
	r.Every(200*time.Millisecond, o.follow)
	r.Every(50*time.Millisecond, o.flush)
	r.Every(500*time.Millisecond, o.poll)
	return o.enqueue
}

func memberName(entry int) string { return "entry" + strconv.Itoa(entry) }

// declare makes the tree of declarations.
func (o *ours) declare() {
	d := o.Deployment
	c := figtree.Contents{Pools: []*figtree.Pool{
		{
			ID: chatPool, BlockTokens: d.Spec.PieceTokens, FirstTokenTarget: d.FirstToken,
			InterTokenTarget: d.BetweenTokens, PrefillResultTTL: d.Spec.ResultLife,
		},
		{ID: plainPool},
	}}
	for _, n := range d.DataCentres {
		c.DataCentres = append(c.DataCentres, figtree.DataCentre{Name: n, Region: "r", OutOfService: n == o.out})
	}
	o.tree = figtree.New(1, c)
}

// listMembers makes the published list of instances.
func (o *ours) listMembers() {
	version := uint64(1)
	if o.view != nil {
		version = o.view.Version + 1
	}
	var members []figview.Member
	for i := range o.Entries {
		if dc := o.entryCentre(i); dc != o.gone {
			members = append(members, figview.Member{Name: memberName(i), DataCentre: dc})
		}
	}
	o.view = figview.NewView(version, members)
}

func (o *ours) newInstance(i int) {
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
		Self: memberName(i), DataCentre: o.entryCentre(i), Clock: o.Clock(), Random: rng.Uint64,
		View:        func() *figview.View { return o.view },
		Servers:     func() *figview.Servers { return o.list },
		Tree:        func() *figtree.Tree { return o.tree },
		SendToOwner: o.ask,
	}))
}

func (o *ours) ask(ctx context.Context, m figview.Member, q *figowner.Request) (*figowner.Reply, error) {
	if m.DataCentre == o.gone {
		return nil, errors.New("no answer")
	}
	o.asks++
	return o.owners[m.Name].HandleReserve(ctx, q)
}

// follow publishes what operators and the platform have changed.
func (o *ours) follow() {
	if o.tree.DataCentreOutOfService(o.out) != (o.out != "") || o.out == "" && o.anyOut() {
		o.declare()
	}
	if len(o.view.Members) != o.living() {
		o.listMembers()
	}
}

func (o *ours) anyOut() bool {
	for _, d := range o.tree.DataCentres {
		if d.OutOfService {
			return true
		}
	}
	return false
}

func (o *ours) living() int {
	n := 0
	for i := range o.Entries {
		if o.entryCentre(i) != o.gone {
			n++
		}
	}
	return n
}

func (o *ours) flush() {
	for i, p := range o.placers {
		if o.entryCentre(i) != o.gone {
			p.Flush(context.Background())
		}
	}
}

// poll gives every owner the reports of its servers.
func (o *ours) poll() {
	for _, s := range o.servers {
		m, ok := figowner.OwnerOf(o.view, s)
		if !ok || m.DataCentre == o.gone {
			continue
		}
		var err error
		report := o.engines[s.Name].Report()
		if !o.engines[s.Name].Up() {
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

// enqueue puts a request at the end of its instance's queue.
func (o *ours) enqueue(c *call) {
	k := queueKey{entry: c.entry, plain: c.Plain}
	q, ok := o.queues[k]
	if !ok {
		q = &queue{}
		o.queues[k] = q
	}
	q.calls = append(q.calls, c)
	if !q.pending {
		o.pump(q)
	}
}

// pump places the requests of a queue, first come first served.
func (o *ours) pump(q *queue) {
	q.pending = false
	for len(q.calls) > 0 {
		c := q.calls[0]
		switch wait := o.try(c); {
		case wait <= 0:
			q.calls = q.calls[1:]
		default:
			q.pending = true
			o.After(min(wait, longestPause), func() { o.pump(q) })
			return
		}
	}
}

// try places one request. It returns how long to wait, and zero if the request
// has left the queue.
func (o *ours) try(c *call) time.Duration {
	if c.over {
		return 0
	}
	target, pool := o.FirstToken, chatPool
	if c.Plain {
		target, pool = o.PlainTarget, plainPool
	}
	asks := o.asks
	x, err := o.placers[c.entry].Place(context.Background(), figplace.Request{
		ID: c.id, Pool: pool, PromptTokens: c.Prompt, OutputTokens: o.OutputLimit,
		Prefix: c.prefixes(), Arrived: epoch.Add(c.At),
		Deadline: epoch.Add(c.At + o.Patience), ExcludedServers: c.avoid,
	})
	if err == nil {
		o.begin(c, x, time.Duration(o.asks-asks)*hop)
		return 0
	}
	if o.now-c.At > time.Duration(waitShare*float64(target)) {
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

// begin starts a request on its placement.
func (o *ours) begin(c *call, x *figplace.Placement, asked time.Duration) {
	c.decode = o.engines[x.Decode.Name]
	if !c.Plain {
		c.prefill = o.engines[x.Prefill.Name]
	}
	c.released, c.prefills, c.moved, c.progress = x.Release, x.PrefillDone, x.TransferDone, x.SetGeneratedTokens
	c.failed = func(server string, r Outcome) {
		e := figowner.ResultExpired
		if r == Died {
			e = figowner.Unreachable
		}
		x.ReportFailure(server, e)
	}
	o.After(max(asked, x.StartPrefillAt.Sub(o.Now()))+hop, func() {
		if !c.over {
			o.start(c)
		}
	})
}

// prefixes returns the hashes of the prompt's blocks.
func (c *call) prefixes() []uint64 {
	shared := int(c.Shared / prefixBlockTokens)
	hashes := make([]uint64, 0, c.Prompt/prefixBlockTokens)
	for i := range int(c.Prompt / prefixBlockTokens) {
		key := uint64(c.Prefix)<<16 | uint64(i)
		if i >= shared {
			key = uint64(c.At)<<8 | uint64(i) | 1<<63
		}
		hashes = append(hashes, key*0x9e3779b97f4a7c15)
	}
	return hashes
}
