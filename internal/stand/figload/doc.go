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
//			StreamsPerSecond: 20, PromptTokens: figload.Range{Min: 50, Max: 400},
//			OutputTokens: figload.Range{Min: 8, Max: 64},
//		}},
//	})
//	report.Table(os.Stdout)
//
// Arrivals are random, derived from the seed and independent for each account. To find
// requests that the instances refuse wrongly, the load generator keeps a token bucket of
// its own per account, with the account's rate, burst and charges. A refused request that
// this bucket would have admitted counts as refused inside the rate. Its charge stays
// debited from the bucket, so that the same unused tokens don't count for a second refusal.
package figload
