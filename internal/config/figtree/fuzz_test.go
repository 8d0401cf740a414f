package figtree

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzParse requires that Parse either rejects a text with faults that have the path
// of the document, or returns a document that a Builder can add, build and remove.
func FuzzParse(f *testing.F) {
	files, err := filepath.Glob(filepath.Join(examples, "*", "*.yaml"))
	require.NoError(f, err)
	deeper, err := filepath.Glob(filepath.Join(examples, "*", "*", "*.yaml"))
	require.NoError(f, err)
	for _, name := range append(files, deeper...) {
		text, err := os.ReadFile(name)
		require.NoError(f, err)
		f.Add(text)
	}
	for _, text := range []string{
		"limits: null", "accounts: [null]", "accounts: [{keys: [null]}]", "pools: [null]", "subtrees: {a: null}",
		"a: &x {b: *x}", "accounts: *x", "accounts: {<<: 1}", "- 1", "---\n---\n", "? [a]", "limits: {burst: !!binary x}",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		d, faults := Parse("team/x", text)
		require.Equal(t, d == nil, len(faults) > 0)
		for _, one := range faults {
			require.Equal(t, "team/x", one.Path)
			require.GreaterOrEqual(t, one.Line, 0)
			require.NotEmpty(t, strings.TrimSpace(one.Reason))
		}
		if d == nil {
			return
		}
		b := NewBuilder()
		b.Put(d)
		b.Build()
		b.Faults()
		b.Remove("team/x")
		require.Zero(t, b.Build().AccountCount())
	})
}
