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
	// pieceTokens is the size of a piece of engine memory.
	pieceTokens = 2048
	// modelName is the model that callers name.
	modelName = "summary"
	// excess is how many times its rate the greedy account sends.
	excess = 6
	// callCost is the charge for a call of the ledger, in tokens.
	callCost = 10
	// greedy sends several times its rate.
	greedy = "greedy"
	// withdrawn loses its key on the way.
	withdrawn = "withdrawn"
)

// dataCentres are those of the demo, one instance in each.
var dataCentres = []string{"ost", "west", "nord"}

// plan returns the fleet of the demo.
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

// client is one client account of the demo.
type client struct {
	name                    string
	rate, burst             int64
	streams, reads, refunds float64
	key                     figkey.GeneratedKey
}

// newClients returns the five accounts with new keys.
func newClients() ([]*client, error) {
	all := []*client{
		{name: "treasury", rate: 6000, burst: 18000, streams: 6, reads: 4},
		{name: "stadium", rate: 4000, burst: 12000, streams: 4, reads: 10, refunds: 4},
		{name: "festival", rate: 2000, burst: 6000, streams: 2, reads: 6, refunds: 2},
		{name: greedy, rate: 1500, burst: 4500, streams: 5 * excess, reads: 2},
		{name: withdrawn, rate: 2000, burst: 6000, streams: 2, reads: 2},
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

// load is the account as the load generator sees it.
func (c *client) load() figload.Account {
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

// base declares data centres, pools and routes.
func base() string {
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

// path is where the account is declared. Every account is a subtree of its own,
// as if each had its team.
func (c *client) path() string { return c.name + "/accounts" }

// document declares the account.
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
