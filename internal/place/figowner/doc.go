// Package figowner does admission control for backend servers. Every backend server is owned by one
// instance, chosen by rendezvous hashing over the published list of instances. Only the owner polls
// the server's load, grants reservations on it, ramps up its load after a cold start and sends it
// orders. All other instances send their reservation requests to the owner.
//
// Backend holds the state of one server and does no input or output; its methods take the current
// time as an argument. Owner is the service around the backends: it serves the peer call "reserve",
// polls the owned servers and sends cancels.
//
// Ownership is soft state. A new owner learns of existing work only from the server's reports and
// from instances that register the leases they hold. Until HandoverPeriod has passed, the new owner
// grants only a part of the free memory that a report shows, and grants nothing on a server in a cold
// start. While two owners overlap, they can exceed a server's memory by no more than that part; the
// server itself refuses the excess.
//
// A lease ends when its holder releases it or has not renewed it for LeaseDuration. If the server
// still reports the request after that, the owner cancels the request: after ReleaseGrace if the
// holder released the lease and the request has no prefill result to fetch, at once if the holder has
// left the published list, after SilentHolderTimeout if the holder is listed but sends no messages,
// after RenewalGrace if it sends messages but does not renew, and after UnleasedGrace if the owner
// knows of no lease for the request.
//
// # Usage
//
//	o := figowner.New(figowner.Options{Self: name, View: member.View, …})
//	figpeer.Handle(handlers, "reserve", o.HandleReserve)
//	kernel.Register(figkernel.Service{Name: "owner", Value: o, Run: func(ctx context.Context) error {
//		return o.Run(ctx, timer)
//	}})
//
// Send orders to a server through Owner.SendOrder, which adds the fencing number.
package figowner
