package figtree

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestLimits(t *testing.T) {
	const pools = "pools: [{name: a}, {name: b}]\n"
	for _, c := range []struct {
		name                   string
		docs                   map[string]string
		rate, burst, priority  int64
		pools                  []string
		faultPath, faultReason string
	}{
		{
			name: "inherited",
			docs: map[string]string{
				"top": "limits: {tokensPerSecond: 100, burst: 300, priority: 5, pools: [a]}\n", "t/x": "accounts: [{name: n}]\n",
			},
			rate: 100, burst: 300, pools: []string{"a"},
		},
		{
			name: "narrowed by the team",
			docs: map[string]string{
				"top":   "limits: {tokensPerSecond: 100, pools: [a, b]}\n",
				"t/top": "limits: {tokensPerSecond: 40, pools: [b]}\n", "t/x": "accounts: [{name: n}]\n",
			},
			rate: 40, burst: 40, pools: []string{"b"},
		},
		{
			name: "widened by the team",
			docs: map[string]string{
				"top":   "subtrees: {t: {tokensPerSecond: 100, priority: 3, pools: [a]}}\n",
				"t/top": "limits: {tokensPerSecond: 4000}\n", "t/x": "accounts: [{name: n, priority: 9}]\n",
			},
			rate: 100, burst: 100, priority: 3, pools: []string{"a"}, faultPath: "t/top", faultReason: "above the limit 100 set in top",
		},
		{
			name: "widened by the account",
			docs: map[string]string{
				"top": "limits: {burst: 50, pools: [a]}\n", "t/x": "accounts: [{name: n, tokensPerSecond: 7, burst: 60}]\n",
			},
			rate: 7, burst: 50, pools: []string{"a"}, faultPath: "t/x", faultReason: "burst 60 is above",
		},
		{
			name: "pool taken without a grant",
			docs: map[string]string{
				"top":   "subtrees: {t: {pools: [a]}}\n",
				"t/top": "limits: {pools: [a, b]}\n", "t/x": "accounts: [{name: n, tokensPerSecond: 7, pools: [b, a]}]\n",
			},
			rate: 7, burst: 7, pools: []string{"a"}, faultPath: "t/x", faultReason: "pool b is not granted",
		},
		{
			name: "pool of the team's own",
			docs: map[string]string{
				"top": "subtrees: {t: {pools: [a]}}\n", "t/own": "pools: [{name: c}]\n",
				"t/x": "accounts: [{name: n, tokensPerSecond: 7, pools: [t/c]}]\n",
			},
			rate: 7, burst: 7, pools: []string{"t/c"},
		},
		{
			name: "another team's limits",
			docs: map[string]string{
				"u/top": "limits: {tokensPerSecond: 1}\n", "t/x": "accounts: [{name: n, tokensPerSecond: 7, pools: [a]}]\n",
			},
			rate: 7, burst: 7, pools: []string{"a"},
		},
		{
			name: "a name that starts alike",
			docs: map[string]string{
				"top": "subtrees: {t: {pools: [a]}}\n", "tt/own": "pools: [{name: c}]\n",
				"t/x": "accounts: [{name: n, tokensPerSecond: 7, pools: [tt/c, a]}]\n",
			},
			rate: 7, burst: 7, pools: []string{"a"}, faultPath: "t/x", faultReason: "pool tt/c is not granted",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.docs["pools"] = pools
			tree, faults := build(t, c.docs)
			a, ok := tree.Account("t/n")
			require.True(t, ok)
			require.Equal(t, c.rate, a.TokensPerSecond)
			require.Equal(t, c.burst, a.Burst)
			require.Equal(t, int(c.priority), a.Priority)
			require.Equal(t, c.pools, a.Pools)
			if c.faultPath == "" {
				require.Empty(t, faults)
				return
			}
			match := func(f Fault) bool { return f.Path == c.faultPath && f.Line > 0 }
			i := slices.IndexFunc(faults, match)
			require.GreaterOrEqual(t, i, 0, faults)
			require.Contains(t, faults[i].Reason, c.faultReason)
		})
	}
}

func TestRoutesNeedGrants(t *testing.T) {
	tree, faults := build(t, map[string]string{
		"pools":    "pools: [{name: a}]\n",
		"top":      "subtrees: {t: {routePrefixes: [/t]}}\nroutes: [{prefix: /x, pool: a}]\n",
		"t/routes": "routes: [{prefix: /t/one, pool: a}, {prefix: /tt, pool: a}, {prefix: /x/y, pool: a}]\n",
		"u/routes": "routes: [{prefix: /u, pool: a}]\n",
	})
	prefixes := make([]string, 0, len(tree.Routes))
	for _, r := range tree.Routes {
		prefixes = append(prefixes, r.Prefix)
	}
	require.Equal(t, []string{"/t/one", "/x"}, prefixes)
	require.Len(t, faults, 3)
}

func TestKeysNeedGrants(t *testing.T) {
	docs := map[string]string{
		"pools": "pools: [{name: a}]\n",
		"top":   "subtrees: {t: {keyPrefixes: [t-, u-]}, u: {keyPrefixes: [k]}}\n",
		"t/top": "limits: {keyPrefixes: [k, t-]}\n",
		"t/x":   "accounts: [{name: n, tokensPerSecond: 1, pools: [a], keys: [" + goodKey + "]}]\n",
		"u/x":   "accounts: [{name: n, tokensPerSecond: 1, pools: [a], keys: [" + goodKey + "]}]\n",
	}
	tree, faults := build(t, docs)
	k, ok := tree.Key("k1")
	require.True(t, ok)
	require.Equal(t, "u/n", k.Account)
	require.Len(t, faults, 1)
	require.Equal(t, "t/x", faults[0].Path)
	require.Contains(t, faults[0].Reason, "key k1 is not granted")
}

func TestDeclaredTwice(t *testing.T) {
	tree, faults := build(t, map[string]string{
		"pools": "pools: [{name: a}]\n",
		"t/x":   "accounts: [{name: n, tokensPerSecond: 1, pools: [a], keys: [" + goodKey + "]}]\n",
		"t/y":   "accounts: [{name: n, tokensPerSecond: 2, pools: [a]}]\n",
		"u/x":   "accounts: [{name: n, tokensPerSecond: 3, pools: [a], keys: [" + goodKey + "]}]\n",
	})
	a, _ := tree.Account("t/n")
	require.Equal(t, int64(1), a.TokensPerSecond)
	k, _ := tree.Key("k1")
	require.Equal(t, "t/n", k.Account)
	require.Len(t, faults, 2)
	require.Equal(t, "t/y", faults[0].Path)
	require.Equal(t, "u/x", faults[1].Path)
}

// contents returns all that is in force, in a form that can be compared.
func contents(t *Tree) string {
	text := fmt.Sprint(t.Routes, t.DataCentres)
	for _, p := range t.Pools() {
		text += fmt.Sprintf("%+v\n", *p)
	}
	accounts, keys := maps.Collect(t.Accounts()), maps.Collect(t.keys.all)
	for _, id := range slices.Sorted(maps.Keys(accounts)) {
		text += fmt.Sprintf("%+v\n", *accounts[id])
	}
	for _, id := range slices.Sorted(maps.Keys(keys)) {
		text += fmt.Sprintf("%+v\n", *keys[id])
	}
	return text
}

func drawDocument(t *rapid.T, path string) *Document {
	number := func(name string) int { return rapid.IntRange(1, 9).Draw(t, name) }
	text := ""
	if rapid.Bool().Draw(t, "limits") {
		text += fmt.Sprintf("limits: {tokensPerSecond: %d, pools: [p%d, p1], keyPrefixes: [k1, k%d]}\n",
			number("limit"), number("pool"), number("key")%4)
	}
	if path == "top" && rapid.Bool().Draw(t, "subtrees") {
		text += fmt.Sprintf("subtrees: {t: {burst: %d, routePrefixes: [/%d]}}\n", number("burst"), number("prefix"))
	}
	if rapid.Bool().Draw(t, "pools") {
		text += fmt.Sprintf("pools: [{name: p%d, callCost: %d}, {name: p1}]\n", 1+number("pool"), number("cost"))
	}
	if rapid.Bool().Draw(t, "routes") {
		text += fmt.Sprintf("routes: [{prefix: /%d, pool: p1}]\n", number("route"))
	}
	text += "accounts:\n"
	for i := range rapid.IntRange(0, 3).Draw(t, "accounts") {
		text += fmt.Sprintf("  - {name: n%d, tokensPerSecond: %d, pools: [p1, p%d], keys: [%s]}\n", i, number("rate"), number("pool"),
			strings.Replace(goodKey, "k1", fmt.Sprint("k", i), 1))
	}
	d, faults := Parse(path, []byte(text))
	require.Empty(t, faults)
	return d
}

// What is in force, and what is reported, depend on the documents held and not
// on the way there: any order of changes ends as a build from nothing.
func TestBuildDependsOnDocumentsOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, held := NewBuilder(), map[string]*Document{}
		for range rapid.IntRange(1, 12).Draw(t, "changes") {
			path := rapid.SampledFrom([]string{"top", "t/a", "t/b", "t/u/c", "v/d"}).Draw(t, "path")
			if rapid.IntRange(0, 4).Draw(t, "remove") == 0 {
				b.Remove(path)
				delete(held, path)
			} else {
				held[path] = drawDocument(t, path)
				b.Put(held[path])
			}
			if rapid.Bool().Draw(t, "build") {
				b.Build()
			}
		}
		anew := NewBuilder()
		for _, path := range rapid.Permutation(slices.Sorted(maps.Keys(held))).Draw(t, "order") {
			anew.Put(held[path])
		}
		require.Equal(t, contents(anew.Build()), contents(b.Build()))
		require.Equal(t, anew.Faults(), b.Faults())
		require.Equal(t, anew.tree.AccountCount(), b.tree.AccountCount())
	})
}

// A tree in use does not change when the next one is built.
func TestTreeIsSnapshot(t *testing.T) {
	b := NewBuilder()
	put := func(text string) *Tree {
		d, faults := Parse("t/x", []byte(text))
		require.Empty(t, faults)
		b.Put(d)
		return b.Build()
	}
	before := put("accounts: [{name: n, tokensPerSecond: 1}, {name: m, tokensPerSecond: 1}]\n")
	kept := contents(before)
	after := put("accounts: [{name: n, tokensPerSecond: 2}]\n")
	require.Equal(t, kept, contents(before))
	require.NotEqual(t, kept, contents(after))
	require.Greater(t, after.Version, before.Version)
	require.Same(t, after, b.Build())
}
