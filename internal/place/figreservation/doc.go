// Package figreservation decides when the engines of one pool will have room for a request, reserves an engine for a
// large request that is next and finds no room, and says which smaller requests may use the reserved room because they
// don't delay it (backfill, as in batch schedulers). It also says which requests no engine will have room for before
// their deadline, so that they can be refused at arrival.
//
// # Usage
//
//	b := figreservation.New(figreservation.LargeFactor)
//	b.Usable = 42839 // tokens of engine memory
//	b.RecordArrival(need)
//	if late, expected := b.TooLate(now, need, wait, engines); late { … } // refuse, retry after expected
//	blocked := b.Blocked(now, need, nil)      // engines that this request must not use
//	r := b.Reserve(now, need, wait, engines)  // if no engine has room; nil if none is reserved
//	p := b.Start(now, lifetime, need, until, r) // the request runs
//	b.End(now, p, true)
//
// It is meant for pools of up to some hundred engines with up to 64 requests each. A decision takes time in proportion to
// the requests that run. It does nothing for requests of up to LargeFactor times the mean or three tenths of an engine's
// memory, except for the refusal at arrival, and nothing before minMeasured requests have ended.
//
// # Failures
//
// The estimates come from the mean duration of requests, so they are wrong for a single request. An engine that has room
// later than expected delays the reserved request until its deadline at most. A request whose end is lost counts as about
// to end later and later, until the time that it may last is over. A new Book knows nothing and decides nothing.
package figreservation
