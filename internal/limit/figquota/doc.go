// Package figquota enforces the rates of client accounts over all instances together where no list
// of instances is published. Each account has one owner among the instances, by rendezvous hashing
// over the members that are known, which keeps its token bucket; the others ask it for each request.
//
// # Usage
//
//	q := figquota.New(figquota.Options{Clock: clock, Timer: timer, Assigner: assigner, Call: call, …})
//	go q.Run(ctx)
//	go q.RunMoves(ctx, timer)
//	grant := q.Take(ctx, "acme", limits, cost)
//	if grant.Decision == figlimiter.Refused {
//		return tooManyRequests(grant.Wait)
//	}
//	…
//	q.Refund(grant) // if the request certainly did not run
//
// # An owner that doesn't answer
//
// A request never waits longer than two callTimeouts for owners. If the first owner doesn't answer,
// the second one grants from a bucket of its own with backupFraction of the rate; if neither does,
// this instance grants 1/n of rate and burst, with n instances, and refuses what costs more than that
// part of the burst.
//
// # An owner that starts or stops
//
// An instance that starts owns no account until its list of members can be taken for complete, and one that shuts down
// owns none any more. Such an instance answers that it isn't the owner, and the next one in the order of owners decides,
// with the whole limits. The bucket of an account moves to its new owner, so that the owner neither refuses what the rate
// allows nor grants a part of the burst again. If all of the maxOwners first members start, the first one decides.
//
// # Bounds
//
// While all instances agree on the owner, an account gets what one bucket allows (see figlimiter).
// After a loss of members or in a partition, an owner grants only the present members' fraction of
// the limits, for as long as lost members may have an owner of their own. So k sides of a partition
// together grant at most Rate*w + Burst in a window w once each has noticed it. Until then, up to 15 s,
// the sides that have lost the first owner add at most backupFraction of rate and burst for each
// second owner, and rate/n and burst/n for each instance that reaches neither. A bucket that no
// earlier owner passes on starts at a quarter of the burst.
package figquota
