package figroute

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestMatch(t *testing.T) {
	table := NewTable(&Declarations{Routes: []Route{
		{Name: "short", Host: "h.example", Prefix: "/a/"},
		{Name: "long", Host: "H.example", Prefix: "/a/b/"},
		{Name: "other", Host: "i.example", Prefix: "/"},
	}})
	for _, c := range []struct{ host, path, want string }{
		{"h.example", "/a/x", "short"},
		{"h.example:8080", "/a/b/x", "long"},
		{"H.EXAMPLE", "/a/b/", "long"},
		{"h.example", "/a/b", "short"},
		{"h.example", "/a", ""},
		{"h.example", "/A/x", ""},
		{"i.example", "/anything", "other"},
		{"j.example", "/a/x", ""},
	} {
		r, ok := table.Match(c.host, c.path)
		require.Equal(t, c.want != "", ok, "%s %s", c.host, c.path)
		if ok {
			require.Equal(t, c.want, r.Name, "%s %s", c.host, c.path)
		}
	}
}

func TestAccounts(t *testing.T) {
	table := NewTable(&Declarations{Accounts: []Account{
		{Name: "a", Keys: []Digest{DigestOf("k1"), DigestOf("k2")}}, {Name: "b", Keys: []Digest{DigestOf("k3")}},
	}})
	for key, want := range map[string]string{"k1": "a", "k2": "a", "k3": "b"} {
		a, ok := table.AccountByKey(key)
		require.True(t, ok)
		require.Equal(t, want, a.Name)
	}
	for _, key := range []string{"", "k", "K1", "k1 "} {
		_, ok := table.AccountByKey(key)
		require.False(t, ok, key)
	}
	require.True(t, table.NeedsKey(&Route{}))
	require.False(t, table.NeedsKey(&Route{NoKeyRequired: true}))
	require.False(t, NewTable(&Declarations{}).NeedsKey(&Route{}), "without accounts there are no keys")
	closed := NewTable(&Declarations{KeysRequired: true})
	require.True(t, closed.NeedsKey(&Route{}), "the last account was removed")
	require.False(t, closed.NeedsKey(&Route{NoKeyRequired: true}))
}

// Priorities are only sent to pools whose requests differ in them: otherwise requests of instances with and without them
// would be unequal in a pool that declares them all equal.
func TestHasPriorities(t *testing.T) {
	route := func(pool string, priority int, open bool) Route {
		return Route{Shares: []Share{{Pool: pool}}, Priority: priority, NoKeyRequired: open}
	}
	for name, c := range map[string]struct {
		routes   []Route
		accounts []Account
		want     bool
	}{
		"equal routes":                 {[]Route{route("p", 2, false), route("p", 2, false)}, nil, false},
		"routes differ":                {[]Route{route("p", 0, false), route("p", 2, false)}, nil, true},
		"another pool's route differs": {[]Route{route("p", 0, false), route("q", 2, false)}, nil, false},
		"account differs":              {[]Route{route("p", 1, false)}, []Account{{HasPriority: true}}, true},
		"accounts differ":              {[]Route{route("p", 0, false)}, []Account{{HasPriority: true}, {HasPriority: true, Priority: 3}}, true},
		"no key, so no account":        {[]Route{route("p", 1, true)}, []Account{{HasPriority: true}}, false},
	} {
		require.Equal(t, c.want, NewTable(&Declarations{Routes: c.routes, Accounts: c.accounts}).HasPriorities("p"), name)
	}
}

func TestCost(t *testing.T) {
	tokens := &Account{CountsTokens: true, DefaultTokens: 200}
	require.EqualValues(t, 5000, tokens.Cost(5000))
	require.EqualValues(t, 200, tokens.Cost(0))
	require.EqualValues(t, 1, (&Account{CountsTokens: true}).Cost(0))
	require.EqualValues(t, 1, (&Account{}).Cost(5000))
}

// Pools are chosen in proportion to their weights. A pool without weight is chosen only if no pool has weight.
func TestChoose(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := Route{}
		sum := 0
		for i := range rapid.IntRange(1, 4).Draw(t, "pools") {
			w := rapid.IntRange(0, 5).Draw(t, "weight")
			sum += w
			r.Shares = append(r.Shares, Share{Pool: string(rune('a' + i)), Weight: w})
		}
		counts := map[string]int{}
		steps := max(sum, 1) * 10
		for i := range steps {
			counts[r.ChoosePool(float64(i)/float64(steps))]++
		}
		if sum == 0 {
			require.Equal(t, steps, counts[r.Shares[0].Pool])
			return
		}
		for _, s := range r.Shares {
			require.InDelta(t, s.Weight*10, counts[s.Pool], 1, s.Pool)
		}
	})
}
