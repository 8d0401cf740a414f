// Package figlimiter holds the token buckets of client accounts.
//
// # Usage
//
//	l := figlimiter.New()
//	decision, wait := l.Take(now, "acme", figlimiter.Limits{Rate: 1000, Burst: 5000}, cost)
//	l.Refund(now, "acme", cost) // if the request certainly did not run
//
// Operators may tolerate more than rate and burst in a window. This tolerance is a second bucket, which is used when the
// first one is empty. Take returns Tolerated for costs that it pays, so that the caller can put such requests behind
// requests within the rate.
//
// # Bounds
//
// In a window w, a bucket allows at most Rate*w + Burst + ToleratedRate*w + ToleratedBurst, and the cost of one request
// more than Burst allows, since a full bucket pays for any cost. A bucket starts at a quarter of the burst. The work of a
// call doesn't depend on the number of accounts, except once in ten seconds. How the buckets of an account at several
// instances are kept within the account's limits is described in figquota.
package figlimiter
