// Package figbalancer chooses the backend server for a send, by what this instance
// alone knows: its own requests in flight, the load that servers report with their
// answers, recent failures, and cold starts. It asks nobody, so that no death of
// another instance holds a choice up.
//
// # Usage
//
//	p := figbalancer.New(figbalancer.Options{Random: rand.Float64, Members: members})
//	choice, err := p.Pick(now, &figbalancer.Query{View: view, Pool: "ledger", Near: "east"})
//	done := p.Begin(now, choice, tokens)
//	…
//	done(now, figbalancer.Result{Load: load, LoadKnown: true})
//
// The load that it answers: pools of 3 to 100 servers at which every instance has
// a part of the requests, up to full slots. Each server gets a score from the
// larger of its own requests in flight and the reported load, which is believed
// for ReportedLoadTTL; failures add to it and fade by half each FailureHalfLife. A server
// in a cold start gets at most its declared rate from all instances together:
// each instance spaces its sends by the number of members over that rate.
//
// All decisions are pure: time, randomness and the view come in as arguments.
package figbalancer
