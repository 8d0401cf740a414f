package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/stretchr/testify/require"

	"figtrail.dev/figtrail/internal/stand/figscript"
)

// runKnownRed asks for the scripts in KNOWN-RED.txt too.
var runKnownRed = flag.Bool("known-red", false, "run the scripts that KNOWN-RED.txt lists, too")

// TestMain makes this test binary serve as figtrail in the scripts.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"figtrail": main})
}

func TestScript(t *testing.T) {
	testscript.Run(t, figscript.Params(scriptFiles(t), os.DirFS("testdata/tree")))
}

// scriptFiles returns the files to run: all but those in KNOWN-RED.txt, which it
// prints, unless the flag asks for them too.
func scriptFiles(t *testing.T) []string {
	all, err := filepath.Glob("testdata/script/*.txtar")
	require.NoError(t, err)
	list, err := os.ReadFile("../../KNOWN-RED.txt")
	require.NoError(t, err)
	return slices.DeleteFunc(all, func(path string) bool {
		test := "TestScript/" + strings.TrimSuffix(filepath.Base(path), ".txtar") + " "
		listed := slices.ContainsFunc(strings.Split(string(list), "\n"), func(line string) bool {
			return strings.HasPrefix(line, test)
		})
		if !listed || *runKnownRed {
			return false
		}
		fmt.Println("passed over, listed in KNOWN-RED.txt:", test)
		return true
	})
}
