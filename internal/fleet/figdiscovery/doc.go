// Package figdiscovery keeps the list of running instances where the platform publishes none. It
// is a gossip membership protocol with failure detection by probes, in the manner of SWIM: each
// instance probes one other instance per round, in a random order that reaches all of them, so that
// the number of messages per instance doesn't depend on the size of the fleet.
//
// # Usage
//
//	d := figdiscovery.New(figdiscovery.Options{Self: self, Seeds: seeds, Probe: probe, …})
//	go d.Run(ctx, timer)
//	go d.RunPushes(ctx, timer)
//	owners := d.Alive()
//	limit := total / float64(d.MaxMembers(now))
//
// # Protocol
//
// Every message carries the sender's record, some recent changes, and a digest of the list. If the
// digests of two instances stay different, one requests the other's whole list. A change of the
// state of a member is also pushed to a few others at once, each of which pushes it on once.
//
// A member that doesn't answer a probe is probed through others; if they fail too, it is suspected,
// and declared dead after suspicionTimeout. A live member that learns that it is suspected refutes
// that with a higher version of its record. A record belongs to one run of a process, its
// incarnation; of two records of a member the one with the higher incarnation, version and state
// replaces the other. An instance that learns of a newer record of itself, because the system clock
// jumped before its restart, raises its own incarnation above it.
//
// # Guarantees
//
// There is no consensus: two instances may hold different lists for some rounds, and for as long as
// the network separates them. MaxMembers therefore returns the largest recent number of members, and
// PresentFraction the part of them that is still there, so that limits that are divided among the
// members are not exceeded when a part of the fleet is cut off.
package figdiscovery
