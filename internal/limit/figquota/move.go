package figquota

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"figtrail.dev/figtrail/internal/core/figtimer"
	"figtrail.dev/figtrail/internal/fleet/figdiscovery"
	"figtrail.dev/figtrail/internal/limit/figlimiter"
)

// Move passes the buckets of accounts to their new owner.
type Move struct {
	Buckets []figlimiter.State `cbor:"1,keyasint"`
}

// MoveAnswer is the answer to a Move.
type MoveAnswer struct {
	// Accepted is false if the instance owns no accounts now.
	Accepted bool `cbor:"1,keyasint"`
}

// RunMoves passes the buckets of accounts that have another owner to it until ctx ends. It returns nil.
func (q *Quota) RunMoves(ctx context.Context, t *figtimer.Timer) error {
	for now := range t.Subscribe(ctx, moveInterval) {
		q.move(ctx, now)
	}
	return nil
}

// move passes the buckets of accounts that have another owner to it. An owner that starts doesn't take them yet.
func (q *Quota) move(ctx context.Context, now time.Time) {
	moves, owners := map[string]*Move{}, map[string]figdiscovery.Member{}
	for _, s := range q.buckets.States(now) {
		ranked := q.owners(s.Account)
		if len(ranked) == 0 || q.Assigner.IsSelf(ranked[0]) || !q.Assigner.Responsive(ranked[0].Name) {
			continue
		}
		name := ranked[0].Name
		if owners[name] = ranked[0]; moves[name] == nil {
			moves[name] = &Move{}
		}
		moves[name].Buckets = append(moves[name].Buckets, s)
	}
	var all sync.WaitGroup
	for name, m := range moves {
		all.Go(func() { q.moveTo(ctx, owners[name], m) })
	}
	all.Wait()
}

// moveTo passes buckets to an owner.
func (q *Quota) moveTo(ctx context.Context, owner figdiscovery.Member, m *Move) {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := q.SendMove(limited, owner, m)
	if err != nil {
		klog.V(1).InfoS("failed to pass the buckets of accounts to their owner", "owner", owner.Name, "count", len(m.Buckets), "err", err)
		return
	}
	if !answer.Accepted {
		return
	}
	now := q.Clock.Now()
	for i := range m.Buckets {
		q.buckets.MoveOut(now, &m.Buckets[i])
	}
	klog.InfoS("buckets of accounts passed to their owner", "owner", owner.Name, "count", len(m.Buckets))
}

// HandleMove takes over the buckets of accounts from another instance.
func (q *Quota) HandleMove(_ context.Context, m *Move) (*MoveAnswer, error) {
	now := q.Clock.Now()
	if !q.MayOwn(now) {
		return &MoveAnswer{}, nil
	}
	for i := range m.Buckets {
		q.buckets.MoveIn(now, &m.Buckets[i])
	}
	return &MoveAnswer{Accepted: true}, nil
}
