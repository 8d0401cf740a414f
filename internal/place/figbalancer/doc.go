// Package figbalancer chooses a backend server for a send among those that it is given. It scores
// servers by the requests in flight that its owner has recorded, the load that servers report with
// their answers, recent failures and cold starts. Choosing sends no message. figcoordinator uses one
// Picker for all requests at the servers that it coordinates; every instance has another one for its own
// sends, which picks while no coordinator answers.
//
// # Usage
//
//	p := figbalancer.New(figbalancer.Options{Random: rand.Float64, Members: members,
//		OnLocalLoadChange: wake})
//	query := &figbalancer.Query{View: view, Pool: "ledger", Roles: roles, PreferredDataCentre: "east"}
//	server, err := p.Pick(now, query)
//	reservation := p.Begin(now, view, server, tokens)
//	…
//	reservation.End(now, figbalancer.Result{Running: running, Waiting: waiting, Slots: slots, HasLoad: true})
//
// It is meant for pools of 3 to 100 servers where every instance sends a share of the requests, up
// to full slots. The score of a plain server starts from the larger of this instance's requests in
// flight and the reported load, which counts for ReportedLoadTTL, over its slots; that of an engine
// from the tokens that the recorded requests need there. Where the measured speeds of a pool's servers
// differ, or servers send work figures, slow servers rank lower. Failures add to the score and
// decay by half each FailureHalfLife. A server in a cold start receives at most its declared rate from all
// instances together, or at most one request a second from each instance where the instances
// outnumber the rate: each instance spaces its sends by about the number of members over that rate.
//
// Time, randomness and the view are arguments or options, so that choices are deterministic in
// tests.
package figbalancer
