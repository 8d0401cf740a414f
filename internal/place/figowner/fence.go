package figowner

import (
	"time"

	"figtrail.dev/figtrail/internal/core/figerror"
)

const (
	// fenceStartBits and fenceCountBits are the widths of the lower parts of a
	// fencing number: when the owner started, and its count of orders.
	fenceStartBits = 24
	fenceCountBits = 12
	// fenceStartUnit is the resolution of the start time.
	fenceStartResolution = time.Second
)

// Fence forms the fencing numbers of the orders to one server. A number has three
// parts, highest first: the version of the view under which the owner gained the
// server, the second at which the owner started, a count.
//
// Versions come from the platform and only grow, and under one version a server
// has one owner, so the owner by an older view stays below the owner by a newer
// one without any write. Within one version only incarnations of one instance can
// follow each other; they are ordered by their start time. Where that time may
// have gone back, the server's own report shows a number that this owner hasn't
// formed: Next then fails until the owner gains the server under a newer view.
type Fence struct {
	last    uint64
	blocked bool
}

// Gain starts the numbers of an owner that started at a time in nanoseconds and
// gained the server under a view version.
func (f *Fence) Start(version, startNanos uint64) {
	start := startNanos / uint64(fenceStartResolution) & (1<<fenceStartBits - 1)
	f.last = version<<(fenceStartBits+fenceCountBits) | start<<fenceCountBits
	f.blocked = false
}

// Observe takes the number that the server has accepted last.
func (f *Fence) ObserveAccepted(accepted uint64) { f.blocked = accepted > f.last }

// Next returns the number of the next order.
func (f *Fence) Next(server string) (uint64, error) {
	if f.blocked {
		return 0, figerror.New("order", server, "server has accepted a newer fencing number")
	}
	if (f.last+1)&(1<<fenceCountBits-1) == 0 {
		return 0, figerror.New("order", server, "fencing numbers of this view are used up")
	}
	f.last++
	return f.last, nil
}
