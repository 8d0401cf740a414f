// Package figowner keeps the reservations of backend servers. Every backend
// server has one owning instance, found by rendezvous hashing on the published
// list of instances; the owner alone polls its load, grants room on it, ramps it
// up after a cold start and gives it orders. The other instances ask the owner.
//
// A Book holds the state of one server and is pure: every method takes the time
// and none does input or output. Owner is the service around the books: it
// answers the peer call "reserve", polls the owned servers and sends cancels.
//
// Ownership is soft. A new owner knows nothing but what the server reports and
// what the instances tell it of the leases they hold; until HandoverTime has
// passed it grants only part of the room that a report shows, and nothing at all
// on a server in a cold start. Two owners for a while can therefore exceed a
// server's memory by no more than that part, which the server itself refuses.
//
// A lease ends by release, or when its holder has been silent for LeaseTime. If
// the server still reports the request after that, the owner cancels it there:
// after ReleaseGrace when the holder released it or has left the published list,
// after SilenceLimit when the holder is listed but can't be heard, and after
// StrangerGrace when no lease is known for it at all.
//
// # Usage
//
//	o := figowner.New(figowner.Options{Self: name, View: member.View, …})
//	figpeer.Handle(handlers, "reserve", o.Answer)
//	kernel.Register(figkernel.Service{Name: "owner", Value: o, Run: func(ctx context.Context) error {
//		return o.Run(ctx, timer)
//	}})
//
// Orders to a server go through Owner.Order, which forms the fencing number.
package figowner
