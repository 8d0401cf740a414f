// Package figload is a load generator. It sends requests of several client accounts
// to instances and checks every answer: it must be complete and belong to the
// request. It expects the emulators of figemulator as backend servers, because it
// computes the expected answer from the request.
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
// Arrivals are random, derived from the seed and independent for each account. A
// refused request counts as refused inside the rate if a token bucket on the
// caller's side, with the same rate, burst and charge, would have admitted it. Its
// charge stays debited from that bucket, so that the same unused tokens don't make
// a second refusal count.
package figload
