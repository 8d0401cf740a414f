package figdemo

import (
	"encoding/hex"
	"fmt"
	"strings"
	"time"

	"figtrail.dev/figtrail/internal/app/figfleet"
	"figtrail.dev/figtrail/internal/limit/figkey"
	"figtrail.dev/figtrail/internal/stand/figemulator"
	"figtrail.dev/figtrail/internal/stand/figload"
)

const (
	// pieceTokens is the size of a piece of engine memory, in tokens.
	pieceTokens = 2048
	// modelName is the model in the callers' requests.
	modelName = "summary"
	// overloadFactor multiplies the streams of the greedy account, so that it exceeds its rate.
	overloadFactor = 6
	// callCost is the cost of a call to the ledger service, in tokens.
	callCost = 10
	// greedyAccount is the client account that sends several times its rate.
	greedyAccount = "greedy"
	// withdrawnAccount is the client account whose key is withdrawn during the run.
	withdrawnAccount = "withdrawn"
)

// dataCentres holds the names of the demo's data centres. Each has one instance.
var dataCentres = []string{"ost", "west", "nord"}

// plan returns the plan of the demo's fleet with the declarations in documents.
func plan(documents map[string]string) figfleet.Plan {
	return figfleet.Plan{
		DataCentres: dataCentres,
		Documents:   documents,
		Engines: []figfleet.EnginePlan{{
			Pool:    "language",
			Prefill: 2,
			Decode:  3,
			Options: figemulator.EngineOptions{
				Models:        []string{modelName},
				Pieces:        40,
				PieceTokens:   pieceTokens,
				Batch:         20,
				PrefillRate:   40_000,
				TokenInterval: 8 * time.Millisecond,
				ResultTTL:     800 * time.Millisecond,
				ReportLag:     200 * time.Millisecond,
				ChecksFence:   true,
			},
		}},
		Plains: []figfleet.PlainPlan{{
			Pool:    "ledger",
			Count:   1,
			Options: figemulator.PlainOptions{ServiceTime: 2 * time.Millisecond, Batch: 64},
		}},
		Instances: len(dataCentres),
	}
}

// client is one client account of the demo. rate and burst are in tokens; streams, reads
// and refunds are requests per second.
type client struct {
	name                    string
	rate, burst             int64
	streams, reads, refunds float64
	key                     figkey.GeneratedKey
}

// newClients returns the five client accounts with newly generated keys.
func newClients() ([]*client, error) {
	all := []*client{
		{name: "treasury", rate: 6000, burst: 18000, streams: 6, reads: 4},
		{name: "stadium", rate: 4000, burst: 12000, streams: 4, reads: 10, refunds: 4},
		{name: "festival", rate: 2000, burst: 6000, streams: 2, reads: 6, refunds: 2},
		{name: greedyAccount, rate: 1500, burst: 4500, streams: 5 * overloadFactor, reads: 2},
		{name: withdrawnAccount, rate: 2000, burst: 6000, streams: 2, reads: 2},
	}
	for _, c := range all {
		k, err := figkey.New()
		if err != nil {
			return nil, err
		}
		c.key = k
	}
	return all, nil
}

// loadAccount returns the account's settings for the load generator.
func (c *client) loadAccount() figload.Account {
	return figload.Account{
		Name:             c.name,
		Key:              c.key.Text,
		Rate:             c.rate,
		Burst:            c.burst,
		Model:            modelName,
		StreamsPerSecond: c.streams,
		ReadsPerSecond:   c.reads,
		RefundsPerSecond: c.refunds,
		PromptTokens:     figload.Range{Min: 40, Max: 200},
		OutputTokens:     figload.Range{Min: 8, Max: 48},
		ReadPath:         "/ledger/balance",
		RefundPath:       "/ledger/refund",
		CallCost:         callCost,
	}
}

// baseDocument returns the declarations of data centres, pools and routes.
func baseDocument() string {
	var b strings.Builder
	b.WriteString("dataCentres:\n")
	for _, dc := range dataCentres {
		fmt.Fprintf(&b, "  - name: %s\n    region: bayern\n", dc)
	}
	fmt.Fprintf(&b, `pools:
  - name: language
    models: [%s]
    pieceTokens: %d
    promptLimit: 32000
    outputLimit: 4000
    firstToken: 1.4s
    betweenTokens: 34ms
    resultLife: 800ms
    checksFence: true
  - name: ledger
    callCost: %d
routes:
  - prefix: /ledger/balance
    pool: ledger
    idempotent: true
  - prefix: /ledger/refund
    pool: ledger
    methods: [POST]
`, modelName, pieceTokens, callCost)
	return b.String()
}

// path returns the path of the account's document. Each account has its own subtree, as if
// a separate team owned it.
func (c *client) path() string { return c.name + "/accounts" }

// document returns the declaration of the account. keyWithdrawn marks its key as withdrawn.
func (c *client) document(keyWithdrawn bool) string {
	return fmt.Sprintf(`accounts:
  - name: %s
    class: demo
    tokensPerSecond: %d
    burst: %d
    pools: [language, ledger]
    keys:
      - id: %q
        salt: %q
        hash: %q
        withdrawn: %t
`, c.name, c.rate, c.burst, c.key.ID, hex.EncodeToString(c.key.Salt), hex.EncodeToString(c.key.Hash), keyWithdrawn)
}
