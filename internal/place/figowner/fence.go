package figowner

import (
	"time"

	"figtrail.dev/figtrail/internal/core/figerror"
)

const (
	// fenceStartBits and fenceCountBits are the widths of the two lower parts of a fencing number: the
	// owner's start time and the number of its order.
	fenceStartBits = 24
	fenceCountBits = 12
	// fenceStartResolution is the resolution of the start time in a fencing number.
	fenceStartResolution = time.Second
)

// Fence generates the fencing numbers of orders to one server. A number has three parts, from the most
// significant: the version of the view under which the owner got the server, the owner's start time in
// seconds, and a counter.
//
// View versions come from the platform and only increase, and under one version a server has one
// owner. An owner under an older view therefore always has lower numbers than an owner under a newer
// view, without any coordination. Within one version only successive processes of one instance can own
// the server, and their start times order them. If the clock has gone back between them, the server
// reports a number that this owner has not issued. Next then fails until the owner gets the server
// again under a newer view.
type Fence struct {
	last    uint64
	blocked bool
}

// Start resets the numbers for an owner that got the server under the given view version. The start
// time of the owner is given in nanoseconds.
func (f *Fence) Start(version, startNanos uint64) {
	start := startNanos / uint64(fenceStartResolution) & (1<<fenceStartBits - 1)
	f.last = version<<(fenceStartBits+fenceCountBits) | start<<fenceCountBits
	f.blocked = false
}

// ObserveAccepted records the highest number that the server has accepted. A number above the last
// issued one makes Next fail.
func (f *Fence) ObserveAccepted(accepted uint64) { f.blocked = accepted > f.last }

// Next returns the fencing number of the next order. It fails if the server has accepted a higher
// number or the counter is exhausted.
func (f *Fence) Next(server string) (uint64, error) {
	if f.blocked {
		return 0, figerror.New("order", server, "server has accepted a higher fencing number than this owner has issued")
	}
	if (f.last+1)&(1<<fenceCountBits-1) == 0 {
		return 0, figerror.New("order", server, "all fencing numbers for this view version are used")
	}
	f.last++
	return f.last, nil
}
