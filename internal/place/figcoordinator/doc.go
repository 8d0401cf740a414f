// Package figcoordinator places requests on engines and plain servers where many instances share them and
// no instance sees enough of a server's load to know how much room it has. The servers of a pool are
// divided among a few coordinators, which are instances chosen by figassign. All others ask one of them
// for a placement before they send a request, so the coordinator knows all requests at its servers,
// queues requests in one fair order, and says when room is expected.
//
// # Usage
//
//	c := figcoordinator.New(figcoordinator.Options{…})       // grants placements
//	p := figcoordinator.NewPlacer(figcoordinator.PlacerOptions{Own: c, …}) // asks for them
//	go c.Run(ctx, timer)
//	go p.Run(ctx, timer)
//
//	placement, err := p.Place(ctx, &figcoordinator.Request{Pool: "lm", Tokens: 5200, …})
//	…
//	placement.EndPrefill(now, result)
//	placement.EndDecode(now, result)
//
// It is meant for pools of 1 to some thousand engines and loads around and above what they hold. A
// pool has one coordinator for each serversPerCoordinator engines, so the requests per coordinator
// don't grow with the fleet. A request costs two or three calls.
//
// # Failures
//
// Coordination is an optimization: an engine refuses truthfully what it has no room for, so it is
// harmless if two coordinators hold the same engine for a moment, or if one has forgotten what runs
// there. A coordinator that doesn't answer within placeTimeout is passed over; if none answers, the
// instance picks a server by what it knows itself. When an engine gets another coordinator, the
// instances that have requests there report them to it, and it places nothing there for
// adoptionTime. A coordinator forgets the requests of an instance that is gone, and every request
// after the time that it may last.
package figcoordinator
