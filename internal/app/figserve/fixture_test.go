package figserve

import (
	"context"
	"encoding/hex"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"figtrail.dev/figtrail/internal/limit/figkey"
	"figtrail.dev/figtrail/internal/stand/figstand"
)

const (
	// patience bounds every wait of these tests.
	patience = 15 * time.Second
	lookup   = 10 * time.Millisecond
)

// fixture is a small fleet on loopback.
type fixture struct {
	t         testing.TB
	platform  *figstand.Platform
	prefill   *figstand.Engine
	decode    *figstand.Engine
	plain     *figstand.Plain
	instances []*Instance
	key       figkey.Made
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

func startFixture(t testing.TB, instances int) *fixture {
	t.Helper()
	f := newFixture(t, figstand.EngineOptions{
		Models: []string{"small"}, Pieces: 400, PieceTokens: 2048, Batch: 400,
		PrefillRate: 1e6, TokenInterval: 2 * time.Millisecond, ResultLife: 800 * time.Millisecond,
		ReportLag: 50 * time.Millisecond,
	})
	for range instances {
		f.start()
	}
	for _, i := range f.instances {
		f.eventually(func() bool { return i.Ready() == nil })
	}
	f.eventually(func() bool { return f.ask("/ledger/balance") == http.StatusOK })
	f.eventually(f.answersModel)
	return f
}

// newFixture starts the stand-ins without any instance.
func newFixture(t testing.TB, engine figstand.EngineOptions) *fixture {
	key, err := figkey.New()
	require.NoError(t, err)
	f := &fixture{t: t, key: key}
	f.platform, err = figstand.StartPlatform(figstand.PlatformOptions{})
	require.NoError(t, err)
	t.Cleanup(func() { _ = f.platform.Close() })
	f.platform.Publish("all", f.declare(false))
	f.prefill = f.engine(engine, "p1", "prefill")
	f.decode = f.engine(engine, "d1", "decode")
	f.plain, err = figstand.StartPlain(figstand.PlainOptions{Name: "l1", Batch: 64})
	require.NoError(t, err)
	t.Cleanup(func() { _ = f.plain.Close() })
	f.list("l1", f.plain.Address(), "ledger", "plain")
	return f
}

func (f *fixture) declare(withdrawn bool) string {
	return fmt.Sprintf(declarations, f.key.ID, hex.EncodeToString(f.key.Salt), hex.EncodeToString(f.key.Hash), withdrawn)
}

func (f *fixture) engine(o figstand.EngineOptions, name, role string) *figstand.Engine {
	o.Name, o.Role = name, role
	e, err := figstand.StartEngine(o)
	require.NoError(f.t, err)
	f.t.Cleanup(func() { _ = e.Close() })
	f.list(name, e.Address(), "language", role)
	return e
}

func (f *fixture) list(name, address, pool, role string) {
	f.platform.SetServer(figstand.ServerRow{
		Name: name, Address: address, DataCentre: "east", Pool: pool, Role: role, State: "live",
		StartedAt: time.Now().Format(time.RFC3339Nano),
	})
}

// start runs one more instance and lists it.
func (f *fixture) start() *Instance {
	s := Defaults()
	s.Name = fmt.Sprintf("i%d", len(f.instances)+1)
	s.DataCentre = "east"
	s.Listen, s.PeerListen, s.AdminListen = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	s.Platform = f.platform.Address()
	s.DrainNotice = 200 * time.Millisecond
	s.DrainLimit = patience
	i, err := New(s)
	require.NoError(f.t, err)
	f.platform.SetInstance(figstand.InstanceRow{Name: s.Name, Address: i.PeerAddress(), DataCentre: "east", State: "live"})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- i.Run(ctx) }()
	f.t.Cleanup(func() {
		cancel()
		require.NoError(f.t, <-done)
	})
	f.instances = append(f.instances, i)
	return i
}

func (f *fixture) eventually(ok func() bool) {
	f.t.Helper()
	require.Eventually(f.t, ok, patience, lookup)
}

// answersModel says whether a model request is answered: an owner that has only
// just started grants nothing to servers in a cold start.
func (f *fixture) answersModel() bool {
	body := `{"model":"small","max_tokens":1,"messages":[{"role":"user","content":"ready"}]}`
	q, err := http.NewRequest(http.MethodPost, "http://"+f.instances[0].CallerAddress()+"/v1/chat/completions", strings.NewReader(body))
	require.NoError(f.t, err)
	q.Header.Set("X-Api-Key", f.key.Text)
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		return false
	}
	_ = a.Body.Close()
	return a.StatusCode == http.StatusOK
}

// ask sends a plain call to the first instance and returns the status.
func (f *fixture) ask(path string) int {
	return get("http://"+f.instances[0].CallerAddress()+path, f.key.Text)
}

// get returns the status of a page.
func get(url, key string) int {
	q, err := http.NewRequest(http.MethodGet, url, http.NoBody)
	if err != nil {
		return 0
	}
	q.Header.Set("X-Api-Key", key)
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0
	}
	_ = a.Body.Close()
	return a.StatusCode
}
