package figtree

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	benchAccounts       = 47_000
	accountsPerDocument = 50
)

// benchDocument returns a document with the accounts of one team. rate is added to
// the tokensPerSecond of the last account.
func benchDocument(team, rate int) string {
	var s strings.Builder
	s.WriteString("accounts:\n")
	for i := range accountsPerDocument {
		fmt.Fprintf(&s, "  - name: a%d\n    tokensPerSecond: %d\n    pools: [p]\n    keys:\n      - id: k%dx%d\n"+
			"        salt: 00112233445566778899aabbccddeeff\n        hash: %064x\n", i, 100+rate*(i/(accountsPerDocument-1)), team, i, team)
	}
	return s.String()
}

// benchBuilder returns a builder with the given number of accounts.
func benchBuilder(tb testing.TB, accounts int) *Builder {
	tb.Helper()
	b := NewBuilder()
	b.Put(parsed(tb, "pools", "pools: [{name: p, models: [m]}]\nlimits: {tokensPerSecond: 100000}\n"))
	for team := range accounts / accountsPerDocument {
		b.Put(parsed(tb, fmt.Sprintf("team%d/accounts", team), benchDocument(team, 0)))
	}
	require.Equal(tb, accounts, b.Build().AccountCount())
	return b
}

// Changing one account copies only the shard of that account, so the cost doesn't
// depend on the size of the tree.
func TestChangeCopiesFewShards(t *testing.T) {
	b := benchBuilder(t, benchAccounts/10)
	before := b.Build()
	b.Put(parsed(t, "team7/accounts", benchDocument(7, 1)))
	after := b.Build()
	copied := 0
	for i := range before.accounts.shards {
		was, is := before.accounts.shards[i], after.accounts.shards[i]
		if fmt.Sprintf("%p", was) != fmt.Sprintf("%p", is) {
			copied++
		}
	}
	require.Equal(t, 1, copied)
	require.Empty(t, b.Faults())
}

// BenchmarkParse parses one document of fifty accounts.
func BenchmarkParse(b *testing.B) {
	text := []byte(benchDocument(7, 1))
	b.ReportAllocs()
	for b.Loop() {
		_, _ = Parse("team7/accounts", text)
	}
}

// BenchmarkLookup looks up one key and its account in a tree of 47,000 accounts.
func BenchmarkLookup(b *testing.B) {
	t := benchBuilder(b, benchAccounts).Build()
	b.ReportAllocs()
	for b.Loop() {
		k, _ := t.Key("k7x7")
		_, _ = t.Account(k.Account)
	}
}
