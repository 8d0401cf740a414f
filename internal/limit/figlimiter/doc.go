// Package figlimiter limits the rate of client accounts over all instances together, without a shared store, consensus
// or a published list of instances. Each instance keeps a token bucket for each account. It charges its own requests to
// the bucket at once, and the spending of other instances when their reports arrive. Between reports it extrapolates
// each instance's spending at its average rate.
//
// # Usage
//
//	l := figlimiter.New()
//	decision, wait := l.Take(now, "acme", figlimiter.Limits{Rate: 1000, Burst: 5000}, cost)
//	l.Refund(now, "acme", cost) // if the request certainly did not run
//	report := l.Report(now)     // sent to the other instances
//	l.ApplyReport(now, "a2", 17, theirReport)
//
// It is designed for 2 to some tens of instances that report to each other about every 400 ms, for accounts that send
// several times their rate, and for instances that crash, restart and are partitioned.
//
// # Bounds
//
// With n instances whose reports arrive after at most d, an account spends at most rate·w + burst in a window w, plus
// what other instances spent before their reports arrived. That is at most the burst that each bucket holds,
// (n−1)·burst, if load begins at all instances within the same d. Afterwards it is at most the growth of demand within
// d.
//
// While reports of an instance are missing, its last rate is extrapolated for MaxExtrapolation. A partitioned side thus
// keeps to its own share for that time. Afterwards, k sides that receive no reports from each other spend at most k
// times the rate. The same holds for sides that have never received reports from each other. The caller handles two
// cases: an instance that has received no report since its start gets limits divided by the number of instances, and an
// instance that receives reports from fewer than half of the other instances gets limits without tolerance.
//
// Operators may tolerate more than rate and burst in a window. This tolerance is a second bucket, which is used when the
// first one is empty. Take returns Tolerated for costs that it pays, so that the caller can put such requests behind
// requests within the rate.
//
// A bucket starts at a quarter of the burst.
package figlimiter
