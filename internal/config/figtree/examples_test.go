package figtree_test

import (
	"os"
	"path/filepath"
	"regexp"
	"testing"

	"github.com/stretchr/testify/require"

	"figtrail.dev/figtrail/internal/config/figtree"
	"figtrail.dev/figtrail/internal/limit/figkey"
)

// The keys listed in the README of the examples match the declared hashes.
func TestExampleKeys(t *testing.T) {
	const examples = "../../../examples"
	page, err := os.ReadFile(filepath.Join(examples, "README.md"))
	require.NoError(t, err)
	rows := regexp.MustCompile("(?m)^\\| (\\w+) \\| (\\S+) \\| `(\\S+)` \\| (withdrawn)? ?\\|$").FindAllStringSubmatch(string(page), -1)
	require.Len(t, rows, 12)
	for _, r := range rows {
		tree, _ := figtree.LoadDir(filepath.Join(examples, r[1]))
		key, err := figkey.Verify(tree, r[3])
		if r[4] != "" {
			require.Error(t, err)
			continue
		}
		require.NoError(t, err, r[3])
		require.Equal(t, r[2], key.Account)
	}
}
