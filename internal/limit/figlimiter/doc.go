// Package figlimiter holds client accounts to their rate over all instances where no
// list of instances is published and nothing can be agreed. Every instance keeps a
// bucket for each account, charges its own requests at once and those of the
// others when it hears of them; until then it presumes that they go on spending at
// the pace that they had.
//
// # Usage
//
//	l := figlimiter.New()
//	grade, wait := l.Take(now, "acme", figlimiter.Limits{Rate: 1000, Burst: 5000}, cost)
//	l.Refund(now, "acme", cost) // it certainly did not run
//	report := l.Report(now)     // carried to the other instances
//	l.Heard(now, "a2", 17, theirReport)
//
// The load that it answers: 2 to some tens of instances that report to each other
// every 400 ms or so, accounts that send several times their rate, instances that
// die, return and are cut off.
//
// # What can be spent
//
// With n instances that hear of each other after at most d, a window w sees at
// most rate·w + burst, and on top what the others spent before they were heard of:
// at most the burst that each holds, (n−1)·burst, when a load begins everywhere in
// the same d, and after that what demand grows by within d. An instance that can't
// hear another presumes the last pace for Presume, so that a side that was cut off
// keeps to its own part for that long; after it, k sides that can't hear each other
// spend at most k times the rate. So do sides that never heard each other, but for an
// instance that has heard nobody since its start: its caller gives it limits that are
// divided by the number of instances, as it leaves out the tolerance while fewer than
// half of the others are heard.
//
// Operators may tolerate more than rate and burst in a window. That is a second
// bucket, drawn on when the first is empty; what it pays for is graded Spare, so
// that it can yield to all that is within its rate.
//
// An instance that has just started gives each account a quarter of its burst.
package figlimiter
