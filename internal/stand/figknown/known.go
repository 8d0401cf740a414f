// Package figknown lets tests pass over those that KNOWN-RED.txt lists, and prints their names. The flag -known-red of
// the test binary runs them too.
//
// # Usage
//
//	func TestSomething(t *testing.T) {
//		figknown.SkipListed(t, "../../..")
//		…
//	}
package figknown

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"testing"

	"github.com/stretchr/testify/require"
)

var runListed = flag.Bool("known-red", false, "also run the tests that KNOWN-RED.txt lists")

// SkipListed skips a test that KNOWN-RED.txt in the directory root lists, unless the flag -known-red is set.
func SkipListed(t *testing.T, root string) {
	t.Helper()
	list, err := os.ReadFile(filepath.Join(root, "KNOWN-RED.txt"))
	require.NoError(t, err)
	listed := regexp.MustCompile(`(?m)^` + regexp.QuoteMeta(t.Name()) + `\s`).Match(list)
	if listed && !*runListed {
		fmt.Println("skipped, listed in KNOWN-RED.txt:", t.Name())
		t.Skip("listed in KNOWN-RED.txt")
	}
}
