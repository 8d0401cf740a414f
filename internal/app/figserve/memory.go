package figserve

import (
	"context"
	"net"
	"time"

	"figtrail.dev/figtrail/internal/core/fignet"
	"figtrail.dev/figtrail/internal/limit/figmemory"
	"figtrail.dev/figtrail/internal/request/figpipeline"
)

const (
	// heldPercent is the part of the soft memory limit for requests and messages of peers while they are read and served:
	// three bodies of 8 MiB at once with the defaults.
	heldPercent = 40
	// callerHeldPercent is what a body takes while it is read, besides its announced length.
	callerHeldPercent = 125
	// maxPeers and maxOperators are the maximum numbers of connections of other instances, of which there are at most a few
	// dozen with 4 connections each, and of operators.
	maxPeers, maxOperators = 256, 32
	// peerIdleTime is how long the connection of another instance may be silent. Instances close theirs after half of it.
	peerIdleTime = time.Minute
)

// newBudget returns the memory for what callers and peers make the process hold.
func (i *Instance) newBudget() *figmemory.Budget {
	return figmemory.New(figmemory.Options{TotalBytes: i.MemoryLimit / 100 * heldPercent, Now: i.clock.Now})
}

// reserve returns a function that reserves memory of a kind for a connection. A connection that finds no room is closed;
// one of a peer also if it holds memory without progress that others need. A caller's connection may carry a running
// request then, which its reads don't tell.
func (i *Instance) reserve(k figmemory.Kind) func(evict func()) fignet.Reservation {
	return func(evict func()) fignet.Reservation {
		var onEvict func(figmemory.Phase)
		if k == figmemory.Peers {
			onEvict = func(figmemory.Phase) { evict() }
		}
		h := i.memory.Open(onEvict)
		h.Enter(figmemory.Receiving)
		return fignet.Reservation{
			Grow:     func(n int64) bool { return h.TryGrow(k, n) },
			Shrink:   func(n int64) { h.Shrink(k, n) },
			Progress: h.Progress,
			Close:    h.Close,
		}
	}
}

// holdBody reserves memory for a body of an announced length.
func (i *Instance) holdBody(n int64) (release func(), ok bool) {
	h := i.memory.Open(nil)
	if !h.TryGrow(figmemory.Bodies, n) {
		h.Close()
		return nil, false
	}
	return h.Close, true
}

// runCall runs a call of a caller. What the answers of servers hold while they are read is released when it has ended.
func (i *Instance) runCall(ctx context.Context, q *figpipeline.Call, r *figpipeline.ResponseWriter) {
	h := i.memory.Open(nil)
	defer h.Close()
	i.pipeline.Run(h.WithContext(ctx), q, r)
}

// limitCallers limits what the connections of callers hold.
func (i *Instance) limitCallers(l net.Listener) net.Listener {
	return fignet.WithLimit(l, fignet.Limit{
		HeldPercent: callerHeldPercent, ReleaseAnswered: true, Open: i.reserve(figmemory.Bodies), OnClose: i.countClosed("callers"),
	})
}

// limitPeers limits the connections of other instances and what they hold.
func (i *Instance) limitPeers(l net.Listener) net.Listener {
	return fignet.WithLimit(l, fignet.Limit{
		Connections: maxPeers, Idle: peerIdleTime, Open: i.reserve(figmemory.Peers), OnClose: i.countClosed("peer"),
	})
}

// limitOperators limits the connections of operators.
func (i *Instance) limitOperators(l net.Listener) net.Listener {
	return fignet.WithLimit(l, fignet.Limit{Connections: maxOperators, OnClose: i.countClosed("admin")})
}

// countClosed returns a function that counts a connection that was closed to keep a limit.
func (i *Instance) countClosed(port string) func() {
	return func() { i.metrics.Count("connections_closed", "port", port, 1) }
}
