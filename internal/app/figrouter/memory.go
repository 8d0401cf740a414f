package figrouter

import (
	"net"
	"time"

	"figtrail.dev/figtrail/internal/core/fignet"
	"figtrail.dev/figtrail/internal/edge/figingress"
	"figtrail.dev/figtrail/internal/limit/figmemory"
)

const (
	// connectionMemoryDivisor limits the buffers of callers' connections to half of what may be held.
	connectionMemoryDivisor = 2
	// concurrencyDivisor reserves half of the file descriptors for callers. The rest
	// serves connections to servers and peers, and files.
	concurrencyDivisor = 2
	// logMemoryDivisor limits the changes kept for instances that follow this one to 1/16 of the memory: storms of
	// large configurations took 136 MB.
	logMemoryDivisor = 16
	// peerDivisor limits the connections of other instances to a quarter of the descriptors; an instance pools up to 4.
	peerDivisor = 4
	// peerIdleTime is how long the connection of another instance may be silent. Instances close theirs after half of it.
	peerIdleTime = time.Minute
	// maxOperators is the maximum number of connections of operators, and of the balancer.
	maxOperators = 32
)

// limitPeers limits the connections of other instances and what they hold.
func (r *Router) limitPeers(l net.Listener) net.Listener {
	return fignet.WithLimit(l, fignet.Limit{
		Connections: r.Descriptors / peerDivisor, Idle: peerIdleTime, OnClose: r.countClosed("peer"),
		Open: func(evict func()) fignet.Reservation {
			h := r.memory.Open(func(figmemory.Phase) { evict() })
			h.Enter(figmemory.Receiving)
			return fignet.Reservation{
				Grow:     func(n int64) bool { return h.TryGrow(figmemory.Peers, n) },
				Shrink:   func(n int64) { h.Shrink(figmemory.Peers, n) },
				Progress: h.Progress,
				Close:    h.Close,
			}
		},
	})
}

// limitOperators limits the connections to a port that needs few.
func (r *Router) limitOperators(l net.Listener, port string) net.Listener {
	return fignet.WithLimit(l, fignet.Limit{Connections: maxOperators, OnClose: r.countClosed(port)})
}

// countClosed returns a function that counts a connection that was closed to keep a limit.
func (r *Router) countClosed(port string) func() {
	return func() { r.metrics.Count("connections_closed", "port", port, 1) }
}

// heldBytes returns the memory for what callers and servers make the process hold.
func (r *Router) heldBytes() int64 { return int64(r.MemoryMB) << 20 * int64(r.HeldPercent) / 100 }

// concurrency returns the maximum number of callers' connections.
func (r *Router) concurrency() int {
	byMemory := r.heldBytes() / connectionMemoryDivisor / figingress.ConnectionBytes(maxHeaderBytes)
	return min(r.Descriptors/concurrencyDivisor, int(byMemory))
}
