package figstore

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"figtrail.dev/figtrail/internal/config/figplatform"
	"figtrail.dev/figtrail/internal/config/figtree"
)

func document(rate int) string {
	return fmt.Sprintf("accounts: [{name: n, tokensPerSecond: %d}]\n", rate)
}

// drawHistory draws the values that a service has published: at most one per version; some don't parse, some are
// deletions.
func drawHistory(t *rapid.T, paths ...string) []figplatform.Value {
	values := make([]figplatform.Value, 0, 30)
	for version := range rapid.Uint64Range(1, 30).Draw(t, "versions") {
		v := figplatform.Value{
			Path:    rapid.SampledFrom(paths).Draw(t, "path"),
			Version: version + 1,
		}
		switch rapid.IntRange(0, 4).Draw(t, "kind") {
		case 0:
			v.Deleted = true
		case 1:
			v.Text = "accounts: {"
		default:
			v.Text = document(int(version + 1))
		}
		values = append(values, v)
	}
	return values
}

// expected returns the rates that must be active: those of the highest version of each path that parses.
func expected(history []figplatform.Value) map[string]int64 {
	rates := map[string]int64{}
	for _, v := range history {
		id := v.Path[:1] + "/n"
		switch {
		case v.Deleted:
			delete(rates, id)
		case strings.HasPrefix(v.Text, "accounts: ["):
			rates[id] = int64(v.Version)
		}
	}
	return rates
}

func activeRates(t *table) map[string]int64 {
	rates := map[string]int64{}
	for id, a := range t.builder.Build().Accounts() {
		rates[id] = a.TokensPerSecond
	}
	return rates
}

func (t *table) mergeAll(values ...figplatform.Value) {
	for _, v := range values {
		t.merge(parse(v))
	}
}

func tableOf(values ...figplatform.Value) *table {
	t := newTable()
	t.mergeAll(values...)
	return t
}

// In whatever order and however often values arrive, the highest version of each path that parses becomes active,
// all tables end with equal digests, and no account's version ever decreases.
func TestHighestVersionWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := drawHistory(t, "a/x", "b/x")
		arrivals := rapid.Permutation(append(slices.Clone(history), history...)).Draw(t, "order")
		one, highest := newTable(), map[string]int64{}
		for _, v := range arrivals {
			one.merge(parse(v))
			for id, rate := range activeRates(one) {
				require.GreaterOrEqual(t, rate, highest[id])
				highest[id] = rate
			}
		}
		require.Equal(t, expected(history), activeRates(one))
		other := tableOf(rapid.Permutation(history).Draw(t, "other order")...)
		require.Equal(t, one.digest(), other.digest())
		require.Equal(t, one.highest, other.highest)
	})
}

// synchronize copies values between two tables as a pull does: those above the highest version first, then by
// bucket.
func synchronize(from, to *table) {
	for more := true; more; {
		var values []figplatform.Value
		values, more = from.after(to.highest, 60)
		to.mergeAll(values...)
	}
	for first := 0; to.digest() != from.digest(); {
		values, next := from.differing(to.buckets[:], first, 60)
		to.mergeAll(values...)
		if next <= first {
			return
		}
		first = next
	}
}

// Tables that received different parts of a history hold the same values after each has pulled from the other.
func TestRelayConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		one, other := newTable(), newTable()
		for _, v := range drawHistory(t, "a/x", "a/y", "b/x") {
			if rapid.Bool().Draw(t, "one") {
				one.merge(parse(v))
			}
			if rapid.Bool().Draw(t, "other") {
				other.merge(parse(v))
			}
		}
		synchronize(one, other)
		synchronize(other, one)
		synchronize(one, other)
		require.Equal(t, one.digest(), other.digest())
		require.Equal(t, activeRates(one), activeRates(other))
		require.Equal(t, slices.Sorted(maps.Keys(one.entries)), slices.Sorted(maps.Keys(other.entries)))
	})
}

// A service that lost its last writes publishes other values under the same versions. All instances choose the
// same one.
func TestEqualVersions(t *testing.T) {
	first := figplatform.Value{Path: "a/x", Version: 7, Text: document(1)}
	second := figplatform.Value{Path: "a/x", Version: 7, Text: document(2)}
	one, other := tableOf(first, second), tableOf(second, first)
	require.Equal(t, activeRates(one), activeRates(other))
	require.Equal(t, one.digest(), other.digest())
}

func TestRejectedValueLeavesOtherPathsActive(t *testing.T) {
	one := tableOf(
		figplatform.Value{Path: "a/x", Version: 1, Text: document(1)},
		figplatform.Value{Path: "b/x", Version: 2, Text: document(2)},
		figplatform.Value{Path: "a/x", Version: 3, Text: "accounts: {"},
		figplatform.Value{Path: "b/x", Version: 4, Text: document(4)},
	)
	require.Equal(t, map[string]int64{"a/n": 1, "b/n": 4}, activeRates(one))
	faults := one.rejected()
	require.Len(t, faults, 1)
	require.Equal(t, "a/x", faults[0].Path)
	require.Equal(t, 1, faults[0].Line)
	one.mergeAll(figplatform.Value{Path: "a/x", Version: 5, Text: document(5)})
	require.Empty(t, one.rejected())
}

func TestListChanges(t *testing.T) {
	var one, other list[string]
	add := func(revision uint64, name string, gone bool) {
		require.True(t, one.apply(revision, false, []change[string]{{name, name, gone}}))
	}
	catchUp := func() {
		rows, all := one.after(other.revision)
		other.apply(one.revision, all, rows)
		require.Equal(t, one.present(), other.present())
	}
	add(1, "a", false)
	add(2, "b", false)
	catchUp()
	add(3, "a", true)
	rows, all := one.after(2)
	require.False(t, all)
	require.Len(t, rows, 1)
	catchUp()
	require.False(t, one.apply(3, false, []change[string]{{"c", "c", false}}))
	require.False(t, one.apply(2, true, nil))
	require.Equal(t, []string{"b"}, one.present())
	for i := range uint64(maxGoneRows + 50) {
		add(4+i, fmt.Sprint("x", i), true)
	}
	_, all = one.after(3)
	require.True(t, all)
	catchUp()
	require.LessOrEqual(t, len(one.rows), maxGoneRows+1)
}

// A whole list removes the rows that are missing from it.
func TestWholeListReplaces(t *testing.T) {
	var l list[string]
	l.apply(5, true, []change[string]{{"a", "a", false}, {"b", "b", false}})
	l.apply(9, true, []change[string]{{"b", "b", false}, {"c", "c", false}})
	require.Equal(t, []string{"b", "c"}, l.present())
	rows, all := l.after(5)
	require.False(t, all)
	require.Contains(t, rows, change[string]{"a", "a", true})
}

// Each fault is logged once while it is present, and again if it returns after it was gone.
func TestFaultsAreLoggedOnce(t *testing.T) {
	var l logState
	one, other := figtree.Fault{Path: "a", Line: 1}, figtree.Fault{Path: "b", Line: 2}
	require.Equal(t, []figtree.Fault{one}, l.newFaults([]figtree.Fault{one}))
	require.Equal(t, []figtree.Fault{other}, l.newFaults([]figtree.Fault{one, other}))
	require.Empty(t, l.newFaults([]figtree.Fault{other}))
	require.Equal(t, []figtree.Fault{one}, l.newFaults([]figtree.Fault{one, other}))
	many := make([]figtree.Fault, 0, 3*maxLoggedFaults)
	for i := range 3 * maxLoggedFaults {
		many = append(many, figtree.Fault{Path: "c", Line: i})
	}
	require.Len(t, l.newFaults(many), maxLoggedFaults)
	require.Len(t, l.newFaults(many), maxLoggedFaults)
}
