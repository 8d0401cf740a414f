package figserve_test

import (
	"context"
	"encoding/hex"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"figtrail.dev/figtrail/internal/app/figfleet"
	"figtrail.dev/figtrail/internal/app/figserve"
	"figtrail.dev/figtrail/internal/limit/figkey"
	"figtrail.dev/figtrail/internal/stand/figemulator"
)

const (
	// waitTimeout is the timeout of each wait in these tests, pollInterval the interval
	// between checks.
	waitTimeout  = 15 * time.Second
	pollInterval = 10 * time.Millisecond
	// modelBody is the body of a model request that wants its answer as a whole.
	modelBody = `{"model":"small","max_tokens":1,"messages":[{"role":"user","content":"ready"}]}`
)

// fixture is a running fleet with one plain server and one client account.
type fixture struct {
	*figfleet.Fleet

	t   testing.TB
	key figkey.GeneratedKey
}

const declarations = `dataCentres:
  - name: east
    region: here
pools:
  - name: language
    models: [small]
    pieceTokens: 2048
    promptLimit: 4000
    outputLimit: 500
    resultLife: 800ms
    stallLimit: 5s
    timeout: 5m
  - name: ledger
    callCost: 1
routes:
  - prefix: /ledger/balance
    pool: ledger
    idempotent: true
  - prefix: /ledger/refund
    pool: ledger
    methods: [POST]
  - prefix: /open
    pool: ledger
    idempotent: true
    open: true
accounts:
  - name: acme
    class: test
    tokensPerSecond: 1000000
    burst: 3000000
    pools: [language, ledger]
    keys:
      - id: %q
        salt: %q
        hash: %q
        withdrawn: %t
`

// enginePair is one prefill and one decode server.
var enginePair = figfleet.EnginePlan{Pool: "language", Prefill: 1, Decode: 1, Options: figemulator.EngineOptions{
	Models: []string{"small"}, Pieces: 400, PieceTokens: 2048, Batch: 400,
	PrefillRate: 1e6, TokenInterval: 2 * time.Millisecond, ResultTTL: 800 * time.Millisecond,
	ReportLag: 50 * time.Millisecond,
}}

// startFixture starts a fleet with one prefill and one decode server, and waits until its
// first instance answers plain and model requests.
func startFixture(t testing.TB, instances int) *fixture {
	f := newFixture(t, figfleet.Plan{
		Engines:   []figfleet.EnginePlan{enginePair},
		Instances: instances,
		Settings: func(s *figserve.Settings) {
			s.DrainNotice = 200 * time.Millisecond
			s.DrainLimit = waitTimeout
		},
	})
	f.eventually(func() bool { return f.ask("/ledger/balance") == http.StatusOK })
	f.eventually(func() bool { return f.answersModel(f.Callers()[0]) })
	return f
}

// newFixture starts the fleet of the plan and adds the client account and the plain server.
func newFixture(t testing.TB, p figfleet.Plan) *fixture {
	t.Helper()
	key, err := figkey.New()
	require.NoError(t, err)
	f := &fixture{t: t, key: key}
	p.DataCentres = []string{"east"}
	p.Documents = map[string]string{"all": f.declare(false)}
	p.Plains = []figfleet.PlainPlan{{Pool: "ledger", Count: 1, Options: figemulator.PlainOptions{Batch: 64}}}
	f.Fleet, err = figfleet.Start(context.Background(), p)
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, f.Close()) })
	return f
}

func (f *fixture) prefill() *figemulator.Engine { return f.Engines[0] }

func (f *fixture) decode() *figemulator.Engine { return f.Engines[1] }

// lastDecode returns the decode server's record of its latest request.
func (f *fixture) lastDecode() figemulator.Run {
	all := f.decode().Runs()
	return all[len(all)-1]
}

func (f *fixture) declare(withdrawn bool) string {
	return fmt.Sprintf(declarations, f.key.ID, hex.EncodeToString(f.key.Salt), hex.EncodeToString(f.key.Hash), withdrawn)
}

func (f *fixture) eventually(ok func() bool) {
	f.t.Helper()
	require.Eventually(f.t, ok, waitTimeout, pollInterval)
}

// answersModel reports whether a model request succeeds. It fails at first, because an
// owner that has just started grants no reservations during a cold start.
func (f *fixture) answersModel(instance string) bool {
	q, err := http.NewRequest(http.MethodPost, "http://"+instance+"/v1/chat/completions", strings.NewReader(modelBody))
	require.NoError(f.t, err)
	return status(q, f.key.Text) == http.StatusOK
}

// ask sends a plain call to the first instance and returns the HTTP status.
func (f *fixture) ask(path string) int {
	return get("http://"+f.Callers()[0]+path, f.key.Text)
}

// get returns the HTTP status of a GET request, or 0 if there is no answer.
func get(url, key string) int {
	q, err := http.NewRequest(http.MethodGet, url, http.NoBody)
	if err != nil {
		return 0
	}
	return status(q, key)
}

func status(q *http.Request, key string) int {
	q.Header.Set("X-Api-Key", key)
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0
	}
	_ = a.Body.Close()
	return a.StatusCode
}
