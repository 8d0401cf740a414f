package figrouter

import (
	"context"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"figtrail.dev/figtrail/internal/config/figcatalogue"
	"figtrail.dev/figtrail/internal/core/figerror"
	"figtrail.dev/figtrail/internal/edge/figadmin"
	"figtrail.dev/figtrail/internal/fleet/figassign"
	"figtrail.dev/figtrail/internal/fleet/figdiscovery"
	"figtrail.dev/figtrail/internal/fleet/figpeer"
	"figtrail.dev/figtrail/internal/fleet/figview"
	"figtrail.dev/figtrail/internal/limit/figquota"
	"figtrail.dev/figtrail/internal/place/figcoordinator"
	"figtrail.dev/figtrail/internal/place/figquarantine"
)

// Names of the calls between instances, as sent on the wire.
const (
	callProbe        = "probe"
	callProbeThrough = "probeThrough"
	callPush         = "push"
	callSync         = "sync"
	callCharge       = "charge"
	callMove         = "move"
	callPlace        = "place"
	callAwait        = "await"
	callEnds         = "ends"
	callAdopt        = "adopt"
	callView         = "view"
	callFollow       = "follow"
	callEvidence     = "evidence"
	// callWork asks a coordinator for the work that it measured. Instances before it refuse the call.
	callWork = "work"
	// callStatus returns the status of an instance for /status/all.
	callStatus = "status"
)

const (
	// readersPerDataCentre is the number of instances in each data centre that others follow. The first one that
	// responds reads the configuration source, and the other ones follow it: each call to the source costs.
	readersPerDataCentre = 3
	// settleInterval is the interval between checks whether the list of members is complete.
	settleInterval = 50 * time.Millisecond
	// maxPeerQueries is the maximum number of instances that are asked for the
	// configuration while the source fails, and peerQueryTimeout the timeout of each.
	maxPeerQueries   = 3
	peerQueryTimeout = 300 * time.Millisecond
)

// connectFleet creates the list of members and the calls between instances.
func (r *Router) connectFleet() {
	r.handlers = figpeer.NewHandlers()
	r.client = figpeer.NewClient(figpeer.ClientOptions{})
	r.discovery = figdiscovery.New(figdiscovery.Options{
		Self: figdiscovery.Member{
			Name: r.Name, Address: r.PeerAddress(), DataCentre: r.DataCentre,
			Incarnation: r.incarnation, MemoryMB: r.MemoryMB,
		},
		Clock:          r.clock,
		Seeds:          func() []string { return *r.seeds.Load() },
		Probe:          remote[figdiscovery.Message, figdiscovery.Message](r, callProbe),
		ProbeThrough:   remote[figdiscovery.IndirectProbe, figdiscovery.IndirectResult](r, callProbeThrough),
		Sync:           remote[figdiscovery.SyncRequest, figdiscovery.SyncAnswer](r, callSync),
		Push:           remote[figdiscovery.Message, figdiscovery.Message](r, callPush),
		Position:       r.catalogue.Position,
		OnPosition:     r.catalogue.NotePosition,
		Evidence:       func() uint64 { return r.quarantine.Digest() },
		OnEvidence:     func(from figview.Member, digest uint64) { r.quarantine.OnDigest(from, digest) },
		OnGone:         func(name string, incarnation uint64) { r.coordinator.OnGone(name, incarnation) },
		InitialMembers: r.Instances,
	})
	r.assigner = figassign.New(figassign.Options{Self: r.Name, Clock: r.clock, Members: r.discovery.Present, Epoch: r.discovery.Epoch})
	figpeer.Handle(r.handlers, callProbe, r.discovery.HandleProbe)
	figpeer.Handle(r.handlers, callProbeThrough, r.discovery.HandleIndirectProbe)
	figpeer.Handle(r.handlers, callSync, r.discovery.HandleSync)
	figpeer.Handle(r.handlers, callPush, r.discovery.HandlePush)
	figpeer.Handle(r.handlers, callView, r.catalogue.Answer)
	figpeer.Handle(r.handlers, callFollow, r.catalogue.HandleFollow)
	figpeer.Handle(r.handlers, callStatus, figadmin.AnswerStatus(r.status))
}

// remote returns a function that sends the call called name to another instance.
func remote[Q, R any](r *Router, name string) func(context.Context, figview.Member, *Q) (*R, error) {
	return func(ctx context.Context, to figview.Member, q *Q) (*R, error) {
		return figpeer.CallUntil[Q, R](ctx, r.client, to, name, q)
	}
}

// remoteMember is like remote for a member.
func remoteMember[Q, R any](r *Router, name string) func(context.Context, figdiscovery.Member, *Q) (*R, error) {
	call := remote[Q, R](r, name)
	return func(ctx context.Context, to figdiscovery.Member, q *Q) (*R, error) { return call(ctx, to.Target(), q) }
}

// connectOwners creates what instances do for each other: quotas and placements.
func (r *Router) connectOwners() {
	r.quota = figquota.New(figquota.Options{
		Clock: r.clock, Timer: r.timer, Assigner: r.assigner,
		Call:     remoteMember[figquota.Charge, figquota.Verdict](r, callCharge),
		SendMove: remoteMember[figquota.Move, figquota.MoveAnswer](r, callMove),
		MayOwn:   func(now time.Time) bool { return !r.isDraining() && r.discovery.Settled(now) },
		Settled:  r.discovery.Settled, PresentFraction: r.discovery.PresentFraction, Members: r.discovery.MaxMembers,
	})
	r.quarantine = figquarantine.New(figquarantine.Options{
		Clock: r.clock, Timer: r.timer, Peers: r.discovery.Peers, HasEnded: r.hasEnded, MayTry: r.mayTryPart,
		Exchange: remote[figquarantine.Update, figquarantine.Update](r, callEvidence),
	})
	figpeer.Handle(r.handlers, callEvidence, r.quarantine.HandleExchange)
	shares := figcoordinator.NewShares(r.clock, r.assigner)
	r.shares = shares
	r.coordinator = figcoordinator.New(figcoordinator.Options{
		Clock: r.clock, Timer: r.timer, View: r.catalogue.View, Shares: shares, Random: rand.Float64,
		QueueLimits: r.queueLimits(),
	})
	r.placer = figcoordinator.NewPlacer(figcoordinator.PlacerOptions{
		Clock: r.clock, Timer: r.timer, View: r.catalogue.View, Instance: r.Name, Incarnation: r.incarnation,
		Shares: shares, Assigner: r.assigner, Own: r.coordinator, Fallback: r.picker, Random: rand.Float64,
		Call:      remoteMember[figcoordinator.Request, figcoordinator.Answer](r, callPlace),
		Await:     remoteMember[figcoordinator.Await, figcoordinator.Answer](r, callAwait),
		SendEnds:  remoteMember[figcoordinator.Ends, figcoordinator.Ack](r, callEnds),
		SendAdopt: remoteMember[figcoordinator.Adopt, figcoordinator.Ack](r, callAdopt),
	})
	figpeer.Handle(r.handlers, callCharge, r.quota.Handle)
	figpeer.Handle(r.handlers, callMove, r.quota.HandleMove)
	figpeer.Handle(r.handlers, callPlace, r.coordinator.Handle)
	figpeer.Handle(r.handlers, callAwait, r.coordinator.Await)
	figpeer.Handle(r.handlers, callEnds, r.coordinator.HandleEnds)
	figpeer.Handle(r.handlers, callAdopt, r.coordinator.HandleAdopt)
	figpeer.Handle(r.handlers, callWork, r.coordinator.HandleWork)
}

// poolCoordinators returns the coordinators of a pool.
func (r *Router) poolCoordinators(pool string) []figdiscovery.Member {
	all, _ := r.shares.Coordinators(r.catalogue.View(), pool)
	return all
}

// askWork asks a coordinator for the work that it measured.
func (r *Router) askWork(ctx context.Context, m figdiscovery.Member, q *figcoordinator.WorkQuery) (*figcoordinator.WorkAnswer, error) {
	if r.assigner.IsSelf(m) {
		return r.coordinator.HandleWork(ctx, q)
	}
	return figpeer.Call[figcoordinator.WorkQuery, figcoordinator.WorkAnswer](ctx, r.client, m.Target(), callWork, q)
}

// hasEnded reports whether the process of a server is known to have ended: another one is listed at its
// address, or nothing listens there.
func (r *Router) hasEnded(ctx context.Context, s *figcatalogue.Server) bool {
	if r.catalogue.View().Replaced(s) {
		return true
	}
	err := r.sender.EnsureConnection(ctx, s.Server)
	return errors.Is(err, syscall.ECONNREFUSED)
}

// maySend reports whether a server may be sent a request by what it has told this instance.
func (r *Router) maySend(server figview.Server) bool {
	return !r.picker.Withdrawn(r.clock.Now(), &figcatalogue.Server{Server: server})
}

// recordNotices records what the header of any answer says about whether and when the server takes more requests.
func (r *Router) recordNotices(server figview.Server, status int, field func(name string) string) {
	m := r.adapter.Dialect.ReadAnswer(status, field)
	if m.Leaving {
		r.picker.RecordLeaving(r.clock.Now(), &figcatalogue.Server{Server: server})
	}
	if m.Pause > 0 {
		r.picker.RecordPause(r.clock.Now(), &figcatalogue.Server{Server: server}, m.Pause)
	}
}

// mayTryPart reports whether this instance is the one that tries prompts with a quarantined part.
func (r *Router) mayTryPart(part string) bool {
	owners := r.assigner.Owners("part/"+part, 1)
	return len(owners) > 0 && r.assigner.IsSelf(owners[0])
}

// readers returns the instances of this data centre that read the configuration source, or take that over.
func (r *Router) readers() []figdiscovery.Member {
	return r.assigner.OwnersIn("readers", r.DataCentre, readersPerDataCentre)
}

// isReader reports whether this instance reads the configuration source itself. A starting instance of
// a running fleet does until it knows the others, as that is quickest.
func (r *Router) isReader() bool {
	if !r.discovery.Settled(r.clock.Now()) {
		return !r.Starting
	}
	for _, m := range r.readers() {
		if r.assigner.IsSelf(m) {
			return true
		}
		if r.assigner.Responsive(m.Name) {
			return false
		}
	}
	return false
}

var errNoReader = errors.New("no reader of the configuration source answers")

// followReader asks a reader of this data centre for changes. The readers share the followers; a reader asks those before it.
func (r *Router) followReader(ctx context.Context, q *figcatalogue.FollowRequest) (*figcatalogue.FollowAnswer, error) {
	for !r.discovery.Settled(r.clock.Now()) {
		if err := r.timer.Sleep(ctx, settleInterval); err != nil {
			return nil, figerror.Wrap(err, "follow", "")
		}
	}
	readers := r.readers()
	first := int(figview.Key(r.Name) % uint64(max(1, len(readers))))
	if own := slices.IndexFunc(readers, r.assigner.IsSelf); own >= 0 {
		readers, first = readers[:own], 0
	}
	var last *figcatalogue.FollowAnswer
	for i := range readers {
		m := readers[(first+i)%len(readers)]
		if r.assigner.IsSelf(m) || !r.assigner.Responsive(m.Name) {
			continue
		}
		a, err := figpeer.CallUntil[figcatalogue.FollowRequest, figcatalogue.FollowAnswer](ctx, r.client, m.Target(), callFollow, q)
		if err == nil {
			if last = a; a.Serves(q) {
				return a, nil
			}
			continue
		}
		r.assigner.MarkUnresponsive(m.Name)
		klog.InfoS("reader does not answer", "reader", m.Name, "err", err)
		if ctx.Err() != nil {
			break
		}
	}
	if last != nil {
		return last, nil
	}
	return nil, errNoReader
}

// queryPeers asks up to maxPeerQueries other instances, one after the other, for the
// configuration that they use. It returns the first answer that has one and the name of the
// instance that gave it, or else an empty answer, or the last error.
func (r *Router) queryPeers(ctx context.Context, q *figcatalogue.SnapshotRequest) (*figcatalogue.Snapshot, string, error) {
	err := errors.New("no other instance is known to ask for the configuration")
	var empty *figcatalogue.Snapshot
	from := ""
	for i, m := range r.discovery.Peers() {
		if i == maxPeerQueries {
			break
		}
		limited, cancel := context.WithTimeout(ctx, peerQueryTimeout)
		s, callErr := figpeer.Call[figcatalogue.SnapshotRequest, figcatalogue.Snapshot](limited, r.client, m, callView, q)
		cancel()
		switch {
		case callErr != nil:
			err = callErr
		case s.Declarations != nil:
			return s, m.Name, nil
		default:
			empty, from = s, m.Name
		}
	}
	if empty != nil {
		return empty, from, nil
	}
	return nil, "", err
}
