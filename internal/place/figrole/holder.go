package figrole

import (
	"time"

	"k8s.io/klog/v2"

	"figtrail.dev/figtrail/internal/fleet/figview"
)

const (
	// leaderHoldTime is how long an instance must have been first before it sends orders. Until then the
	// instance that was first before may send some: its new list can be 3 s late and is read within 1 s, and
	// its last order takes orderTimeout. Another 3 s must lie between the orders of two instances.
	leaderHoldTime = 10 * time.Second
	// startupHoldTime replaces leaderHoldTime for an instance that starts with the whole system and is first
	// in the first list that it reads, because no other instance was first before.
	startupHoldTime = time.Second
	// fencesPerMillisecond is the number of fencing tokens in each millisecond. The name of an instance
	// selects one of them, so that two instances form different tokens unless their names collide.
	fencesPerMillisecond = 1024
)

// mayOrder says whether this instance has been first in the list of seeds for long enough to send orders.
func (c *Controller) mayOrder(now time.Time) bool {
	starting := c.opts.Starting && !c.checkedSeeds
	c.checkedSeeds = true
	if !c.opts.IsFirstSeed() {
		c.firstSince, c.firstFromStart = time.Time{}, false
		return false
	}
	if c.firstSince.IsZero() {
		c.firstSince, c.firstFromStart = now, starting
		klog.InfoS("instance became first in the seed list", "instance", c.opts.Name, "fromStart", starting)
	}
	wait := leaderHoldTime
	if c.firstFromStart {
		wait = startupHoldTime
	}
	return now.Sub(c.firstSince) >= wait
}

// fence returns a fencing token that grows with the system clock. Its low part is derived from the name of
// the instance, so that two instances form different tokens unless their names collide.
func (c *Controller) fence() uint64 {
	return uint64(time.Now().UnixMilli())*fencesPerMillisecond + figview.Key(c.opts.Name)%fencesPerMillisecond
}
