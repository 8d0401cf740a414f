package figtree

import (
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const goodKey = `{id: k1, salt: 0011223344556677, hash: "` +
	`aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"}`

func TestParseFaults(t *testing.T) {
	for _, c := range []struct {
		name, path, text string
		line             int
		reason           string
	}{
		{"syntax", "a", "accounts: [", 1, ""},
		{"unknown section", "a", "acounts: []\n", 1, "unknown field"},
		{"unknown field", "a", "accounts:\n  - name: x\n    rate: 3\n", 3, "unknown field"},
		{"wrong type", "a", "accounts:\n  - name: x\n    burst: many\n", 3, ""},
		{"negative", "a", "accounts:\n  - name: x\n    burst: -1\n", 3, "burst is too low"},
		{"no name", "a", "accounts:\n  - burst: 1\n", 0, "account has no name"},
		{"twice", "a", "accounts:\n  - name: x\n  - name: x\n", 3, "declared twice"},
		{"slash", "a", "pools:\n  - name: x/y\n", 2, "slash"},
		{"data centre below root", "team/a", "dataCentres:\n  - name: x\n", 2, "root directory only"},
		{"prefix", "a", "routes:\n  - prefix: x\n    pool: p\n", 2, "slash"},
		{"no pool", "a", "routes:\n  - prefix: /x\n", 2, "no pool"},
		{"salt", "a", "accounts:\n  - name: x\n    keys:\n      - id: k\n        salt: 00\n        hash: 00\n", 5, "salt"},
		{"hash", "a", "accounts:\n  - name: x\n    keys:\n      - id: k\n        salt: 0011223344556677\n        hash: zz\n", 6, "hash"},
		{"duration", "a", "pools:\n  - name: x\n    stallLimit: -1s\n", 3, "stallLimit"},
		{"empty account", "a", "accounts: [null]\n", 0, "an account is empty"},
		{"empty pool", "a", "pools: [null]\n", 0, "a pool is empty"},
		{"empty key", "a", "accounts:\n  - name: x\n    keys: [null]\n", 2, "key of account x is empty"},
		{"two documents", "a", "accounts: []\n---\naccounts: []\n", 0, "more than one document"},
		{"section twice", "a", "accounts: []\naccounts: []\n", 2, "already defined"},
		{"long line", "a", "\n# " + strings.Repeat("x", maxLineBytes), 2, "longer than 4096"},
		{"long text", "a", strings.Repeat("# x\n", maxTextBytes/4+1), 0, "longer than 1048576"},
		{"far indent", "a", strings.Repeat("- ", maxIndent), 1, "indented too far"},
		{"deep brackets", "a", strings.Repeat("a: [\n", maxBrackets+1), maxBrackets + 1, "nested too deeply"},
		{"subtree", "a", "subtrees:\n  ../b:\n    burst: 1\n", 0, "not a path"},
	} {
		t.Run(c.name, func(t *testing.T) {
			d, faults := Parse(c.path, []byte(c.text))
			require.Nil(t, d)
			require.NotEmpty(t, faults)
			require.Equal(t, c.path, faults[0].Path)
			require.Equal(t, c.line, faults[0].Line)
			require.Contains(t, faults[0].Reason, c.reason)
			require.NotContains(t, faults[0].Reason, "\n")
		})
	}
}

// An empty list of what is allowed must not be taken for a missing one, which allows all or is inherited.
func TestEmptyListsAllowNothing(t *testing.T) {
	for _, list := range []string{" []", " null", " ~", "", " # none"} {
		tree, faults := build(t,
			"pools", "pools: [{name: p, models: [m]}]\nroutes:\n  - prefix: /all\n    pool: p\n  - prefix: /none\n    pool: p\n    methods:"+list+"\n",
			"limits", "limits: {tokensPerSecond: 9, pools: [p]}\nsubtrees:\n  closed:\n    pools:"+list+"\n    routePrefixes:"+list+"\n    keyPrefixes:"+list+"\n",
			"open/x", "accounts:\n  - name: inherits\n    keys: ["+goodKey+"]\n  - name: none\n    pools:"+list+"\n",
			"closed/x", "accounts:\n  - name: a\n    keys: ["+strings.Replace(goodKey, "k1", "k2", 1)+"]\nroutes: [{prefix: /r, pool: p}]\n",
		)
		for id, want := range map[string][]string{"open/inherits": {"p"}, "open/none": nil, "closed/a": nil} {
			a, ok := tree.Account(id)
			require.True(t, ok, "%q %s", list, id)
			require.Equal(t, want, a.Pools, "%q %s", list, id)
		}
		for path, want := range map[string]bool{"/all": true, "/none": false} {
			r, ok := tree.Route(path)
			require.True(t, ok, "%q %s", list, path)
			require.Equal(t, want, r.Allows("POST"), "%q %s", list, path)
		}
		_, ok := tree.Route("/r")
		require.False(t, ok, list)
		_, ok = tree.Key("k2")
		require.False(t, ok, list)
		_, ok = tree.Key("k1")
		require.True(t, ok, list)
		for _, reason := range []string{"route /none allows no method", "account none may use no pool", "account a may use no pool", "key k2 is not granted to this directory"} {
			require.True(t, slices.ContainsFunc(faults, func(f Fault) bool { return f.Reason == reason && f.Line > 0 }), "%q %s", list, reason)
		}
	}
	for _, empty := range []string{"accounts:", "accounts: []", "routes: []", "pools:", "dataCentres: []", "accounts: [{name: a, keys: []}]"} {
		tree, _ := build(t, "x", empty)
		require.Zero(t, tree.KeyCount(), empty)
	}
}

func TestFaultsAreBounded(t *testing.T) {
	_, faults := Parse("a", []byte("accounts:\n"+strings.Repeat("  - {}\n", 3*maxFaults)))
	require.Len(t, faults, maxFaults)
}

func TestParseEmpty(t *testing.T) { require.Equal(t, "a", parsed(t, "a/b", "").Dir) }

// parsed parses text and requires that it has no faults.
func parsed(t require.TestingT, path, text string) *Document {
	d, faults := Parse(path, []byte(text))
	require.Empty(t, faults)
	return d
}

// build builds a tree from documents, given as alternating paths and texts.
func build(t *testing.T, docs ...string) (*Tree, []Fault) {
	t.Helper()
	b := NewBuilder()
	for i := 0; i < len(docs); i += 2 {
		b.Put(parsed(t, docs[i], docs[i+1]))
	}
	return b.Build(), b.Faults()
}

func TestBuild(t *testing.T) {
	tree, faults := build(t,
		"places", "dataCentres: [{name: north, region: r}, {name: south, region: r, out: true}]",
		"pools", "pools: [{name: language, models: [m], firstToken: 1s}, {name: ledger}]",
		"routes", "routes: [{prefix: /ledger, pool: ledger}, {prefix: /ledger/refunds, pool: ledger, methods: [POST]}]",
		"huber/accounts", "accounts: [{name: treasury, tokensPerSecond: 10, burst: 20, pools: [language, ledger], keys: ["+goodKey+"]}]",
	)
	require.Empty(t, faults)
	a, ok := tree.Account("huber/treasury")
	require.True(t, ok)
	require.Equal(t, int64(20), a.Burst)
	require.Equal(t, int64(1), a.Weight)
	k, ok := tree.Key("k1")
	require.True(t, ok)
	require.Equal(t, a.ID, k.Account)
	p, ok := tree.PoolForModel(a, "m")
	require.True(t, ok)
	require.Equal(t, "language", p.ID)
	require.Equal(t, []string{"m"}, tree.Models(a))
	r, ok := tree.Route("/ledger/refunds/7")
	require.True(t, ok)
	require.Equal(t, []string{"POST"}, r.Methods)
	r, ok = tree.Route("/ledger/refundsish")
	require.True(t, ok)
	require.Empty(t, r.Methods)
	_, ok = tree.Route("/ledgers")
	require.False(t, ok)
	require.True(t, tree.DataCentreOutOfService("south"))
	require.False(t, tree.DataCentreOutOfService("north"))
}
