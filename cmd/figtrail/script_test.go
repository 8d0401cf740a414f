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

// runKnownRed makes TestScript also run the scripts that KNOWN-RED.txt lists.
var runKnownRed = flag.Bool("known-red", false, "also run the scripts that KNOWN-RED.txt lists")

// TestMain lets the test binary run as the figtrail command in the scripts.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"figtrail": main})
}

// TestScript runs the scenario scripts in testdata/script. Their fleets start with
// the declarations in testdata/tree.
func TestScript(t *testing.T) {
	testscript.Run(t, figscript.Params(scriptFiles(t), os.DirFS("testdata/tree")))
}

// scriptFiles returns the paths of the scripts to run. Without the flag -known-red
// it leaves out the scripts that KNOWN-RED.txt lists and prints their names.
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
		fmt.Println("skipped, listed in KNOWN-RED.txt:", test)
		return true
	})
}
