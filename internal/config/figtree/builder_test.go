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
	const taken = "accounts: [{name: n, tokensPerSecond: 7, pools: "
	for _, c := range []struct {
		name           string
		docs           []string
		want           Account
		fault, because string
	}{
		{
			"inherited",
			[]string{"top", "limits: {tokensPerSecond: 100, burst: 300, priority: 5, pools: [a]}", "t/x", "accounts: [{name: n}]"},
			Account{TokensPerSecond: 100, Burst: 300, Pools: []string{"a"}},
			"", "",
		},
		{
			"narrowed by the team",
			[]string{
				"top", "limits: {tokensPerSecond: 100, pools: [a, b]}",
				"t/top", "limits: {tokensPerSecond: 40, pools: [b]}", "t/x", "accounts: [{name: n}]",
			},
			Account{TokensPerSecond: 40, Burst: 40, Pools: []string{"b"}},
			"", "",
		},
		{
			"widened by the team",
			[]string{
				"top", "subtrees: {t: {tokensPerSecond: 100, priority: 3, pools: [a]}}",
				"t/top", "limits: {tokensPerSecond: 4000}", "t/x", "accounts: [{name: n, priority: 9}]",
			},
			Account{TokensPerSecond: 100, Burst: 100, Priority: 3, Pools: []string{"a"}},
			"t/top", "above the limit 100 set in top",
		},
		{
			"widened by the account",
			[]string{"top", "limits: {burst: 50, pools: [a]}", "t/x", "accounts: [{name: n, tokensPerSecond: 7, burst: 60}]"},
			Account{TokensPerSecond: 7, Burst: 50, Pools: []string{"a"}},
			"t/x", "burst 60 is above",
		},
		{
			"pool taken without a grant",
			[]string{"top", "subtrees: {t: {pools: [a]}}", "t/top", "limits: {pools: [a, b]}", "t/x", taken + "[b, a]}]"},
			Account{TokensPerSecond: 7, Burst: 7, Pools: []string{"a"}},
			"t/x", "pool b is not granted",
		},
		{
			"pool declared by the team",
			[]string{"top", "subtrees: {t: {pools: [a]}}", "t/own", "pools: [{name: c}]", "t/x", taken + "[t/c]}]"},
			Account{TokensPerSecond: 7, Burst: 7, Pools: []string{"t/c"}},
			"", "",
		},
		{
			"another team's limits",
			[]string{"u/top", "limits: {tokensPerSecond: 1}", "t/x", taken + "[a]}]"},
			Account{TokensPerSecond: 7, Burst: 7, Pools: []string{"a"}},
			"", "",
		},
		{
			"directory with the same name prefix",
			[]string{"top", "subtrees: {t: {pools: [a]}}", "tt/own", "pools: [{name: c}]", "t/x", taken + "[tt/c, a]}]"},
			Account{TokensPerSecond: 7, Burst: 7, Pools: []string{"a"}},
			"t/x", "pool tt/c is not granted",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			tree, faults := build(t, append(c.docs, "pools", "pools: [{name: a}, {name: b}]")...)
			a, ok := tree.Account("t/n")
			require.True(t, ok)
			c.want.ID, c.want.Class, c.want.Weight = "t/n", defaultClass, 1
			require.Equal(t, c.want, *a)
			if c.fault == "" {
				require.Empty(t, faults)
				return
			}
			match := func(f Fault) bool { return f.Path == c.fault && f.Line > 0 }
			i := slices.IndexFunc(faults, match)
			require.GreaterOrEqual(t, i, 0, faults)
			require.Contains(t, faults[i].Reason, c.because)
		})
	}
}

func TestRoutesNeedGrants(t *testing.T) {
	tree, faults := build(t,
		"pools", "pools: [{name: a}]",
		"top", "subtrees: {t: {routePrefixes: [/t]}}\nroutes: [{prefix: /x, pool: a}]",
		"t/routes", "routes: [{prefix: /t/one, pool: a}, {prefix: /tt, pool: a}, {prefix: /x/y, pool: a}]",
		"u/routes", "routes: [{prefix: /u, pool: a}]",
	)
	require.Equal(t, []Route{{Prefix: "/t/one", Pool: "a"}, {Prefix: "/x", Pool: "a"}}, tree.Routes)
	require.Len(t, faults, 3)
}

// A key that two accounts declare goes to the account with the lowest ID among those
// whose directory is granted the key.
func TestKeysNeedGrants(t *testing.T) {
	const account = "accounts: [{name: n, tokensPerSecond: 1, pools: [a], keys: [" + goodKey + "]}]"
	tree, faults := build(t,
		"pools", "pools: [{name: a}]",
		"top", "subtrees: {t: {keyPrefixes: [t-, u-]}, u: {keyPrefixes: [k]}}",
		"t/top", "limits: {keyPrefixes: [k, t-]}",
		"t/x", account,
		"u/x", account,
	)
	k, ok := tree.Key("k1")
	require.True(t, ok)
	require.Equal(t, "u/n", k.Account)
	require.Len(t, faults, 1)
	require.Equal(t, "t/x", faults[0].Path)
	require.Contains(t, faults[0].Reason, "key k1 is not granted")
}

func TestDeclaredTwice(t *testing.T) {
	const account = "accounts: [{name: n, tokensPerSecond: %d, pools: [a], keys: [%s]}]"
	tree, faults := build(t,
		"pools", "pools: [{name: a}]",
		"t/x", fmt.Sprintf(account, 1, goodKey),
		"t/y", fmt.Sprintf(account, 2, ""),
		"u/x", fmt.Sprintf(account, 3, goodKey),
	)
	a, _ := tree.Account("t/n")
	require.Equal(t, int64(1), a.TokensPerSecond)
	k, _ := tree.Key("k1")
	require.Equal(t, "t/n", k.Account)
	require.Len(t, faults, 2)
	require.Equal(t, "t/y", faults[0].Path)
	require.Equal(t, "u/x", faults[1].Path)
}

// contents returns the content of a tree, without its version, as comparable text.
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
	return parsed(t, path, text)
}

// requireSnapshot requires that Build leaves the previous tree unchanged, that a tree
// with other content has a higher version, and that a second Build returns the same
// tree.
func requireSnapshot(t *rapid.T, b *Builder) {
	before, kept := b.tree, contents(b.tree)
	after := b.Build()
	require.Equal(t, kept, contents(before))
	if contents(after) != kept {
		require.Greater(t, after.Version, before.Version)
	}
	require.Same(t, after, b.Build())
}

// The tree and the faults depend only on the current documents: incremental builds
// with any sequence of changes give the same result as one build from scratch.
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
				requireSnapshot(t, b)
			}
		}
		fresh := NewBuilder()
		for _, path := range rapid.Permutation(slices.Sorted(maps.Keys(held))).Draw(t, "order") {
			fresh.Put(held[path])
		}
		require.Equal(t, contents(fresh.Build()), contents(b.Build()))
		require.Equal(t, fresh.Faults(), b.Faults())
		require.Equal(t, fresh.tree.AccountCount(), b.tree.AccountCount())
	})
}
