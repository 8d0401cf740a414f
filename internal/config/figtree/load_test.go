package figtree

import (
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const examples = "../../../examples"

func TestExamplesHaveNoFaults(t *testing.T) {
	for _, c := range []struct {
		dir                          string
		dataCentres, pools, accounts int
	}{{"huber", 3, 2, 5}, {"loudhailer", 4, 2, 5}} {
		t.Run(c.dir, func(t *testing.T) {
			tree, faults := LoadDir(filepath.Join(examples, c.dir))
			require.Empty(t, faults)
			require.Len(t, tree.DataCentres, c.dataCentres)
			require.Len(t, tree.Pools(), c.pools)
			require.Equal(t, c.accounts, tree.AccountCount())
			for _, a := range tree.Accounts() {
				require.NotEmpty(t, a.Pools)
			}
		})
	}
}

func TestBrokenExampleFaults(t *testing.T) {
	tree, faults := LoadDir(filepath.Join(examples, "broken"))
	text := make([]string, 0, len(faults))
	for _, f := range faults {
		text = append(text, f.String())
	}
	found := strings.Join(text, "\n")
	for _, wanted := range []string{
		"syntax:2: ",
		"unknownField:5: unknown field",
		"venues/accounts:3: tokensPerSecond 5000 is above the limit 1000 set in teams",
		"venues/accounts:4: pool ledger is not granted",
		"venues/keys:8: hash of key guests1",
		"venues/places:2: dataCentres belong to the root directory only",
		"venues/routes:2: route prefix /ledger is not granted",
		"venues/routes:5: there is no pool missing",
	} {
		require.Contains(t, found, wanted)
	}
	a, ok := tree.Account("venues/cashiers")
	require.True(t, ok)
	require.Equal(t, int64(1000), a.TokensPerSecond)
	require.Equal(t, []string{"language"}, a.Pools)
	require.Empty(t, tree.Routes)
	require.Empty(t, tree.DataCentres)
}

func TestExplain(t *testing.T) {
	for _, c := range []struct {
		dir, path, value, file string
		line                   int
	}{
		{"huber", "finance/accounts/treasury/tokensPerSecond", "24000", "finance/accounts.yaml", 5},
		{"huber", "finance/accounts/treasury/promptLimit", "0", "(default)", 0},
		{"huber", "pools/language/promptLimit", "32000", "pools.yaml", 6},
		{"huber", "routes/ledger/refunds/idempotent", "false", "(default)", 0},
		{"huber", "routes/ledger/balances/idempotent", "true", "routes.yaml", 6},
		{"huber", "venues/limits/burst", "90000", "teams.yaml", 11},
		{"huber", "dataCentres/munich/region", "bavaria", "dataCentres.yaml", 4},
		{"broken", "venues/accounts/cashiers/tokensPerSecond", "1000", "teams.yaml", 3},
		{"broken", "venues/accounts/cashiers/pools", "[language]", "venues/accounts.yaml", 4},
	} {
		t.Run(c.path, func(t *testing.T) {
			dir := filepath.Join(examples, c.dir)
			value, file, line, err := Explain(dir, c.path)
			require.NoError(t, err)
			require.Equal(t, c.value, value)
			if c.file != defaultOrigin {
				c.file = filepath.Join(dir, c.file)
			}
			require.Equal(t, c.file, file)
			require.Equal(t, c.line, line)
		})
	}
	for _, path := range []string{"", "pools", "pools/none/promptLimit", "huber/accounts/nobody/burst", "routes/ledger/open"} {
		_, _, _, err := Explain(filepath.Join(examples, "huber"), path)
		require.Error(t, err, path)
	}
}

func TestLoadMissingDir(t *testing.T) {
	_, faults := LoadDir(filepath.Join(t.TempDir(), "none"))
	require.Len(t, faults, 1)
}
