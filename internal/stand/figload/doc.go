// Package figload sends a bounded load of real requests for several client
// accounts and checks every answer: it must be whole and the caller's own. It
// expects the stand-ins of figemulator behind the instances, whose answers follow
// from the request.
//
// # Usage
//
//	report, err := figload.Run(ctx, figload.Options{
//		Targets:  []string{"127.0.0.1:8080", "127.0.0.1:8081"},
//		Duration: 10 * time.Second,
//		Seed:     1,
//		Accounts: []figload.Account{{
//			Name: "huber", Key: key, Model: "summary", Rate: 20_000, Burst: 40_000,
//			StreamsPerSecond: 20, PromptTokens: figload.Range{Low: 50, High: 400},
//			OutputTokens: figload.Range{Low: 8, High: 64},
//		}},
//	})
//	report.Table(os.Stdout)
//
// Arrivals are random with the given seed, independent for each account. A
// request counts as refused inside its rate if a token bucket on the caller's
// side, with the same rate, burst and charge, would have admitted it. What is
// counted so is taken from that bucket, so that unused tokens are counted once.
package figload
