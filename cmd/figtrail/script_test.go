package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/rogpeppe/go-internal/testscript"
	"github.com/stretchr/testify/require"
)

// knownRed asks for the scripts in KNOWN-RED.txt too.
var knownRed = flag.Bool("known-red", false, "run the scripts that KNOWN-RED.txt lists, too")

// TestMain makes this test binary serve as figtrail in the scripts.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"figtrail": main})
}

// command is a scenario command: words are its arguments without options, which
// have the form name=value.
type command func(f *fleet, words []string, opts options) error

var commands = map[string]command{
	"fleet":    (*fleet).cmdFleet,
	"server":   (*fleet).cmdServer,
	"instance": (*fleet).cmdInstance,
	"ready":    (*fleet).cmdReady,
	"set":      (*fleet).cmdSet,
	"publish":  (*fleet).cmdPublish,
	"state":    (*fleet).cmdState,
	"platform": (*fleet).cmdPlatform,
	"fault":    (*fleet).cmdFault,
	"restart":  (*fleet).cmdRestart,
	"network":  (*fleet).cmdNetwork,
	"crash":    (*fleet).cmdCrash,
	"pause":    (*fleet).cmdPause,
	"continue": (*fleet).cmdContinue,
	"drain":    (*fleet).cmdDrain,
	"exited":   (*fleet).cmdExited,
	"send":     (*fleet).cmdSend,
	"call":     (*fleet).cmdCall,
	"leave":    (*fleet).cmdLeave,
	"expect":   (*fleet).cmdExpect,
	"avoid":    (*fleet).cmdAvoid,
	"becomes":  (*fleet).cmdBecomes,
	"until":    (*fleet).cmdUntil,
	"check":    (*fleet).cmdCheck,
	"load":     (*fleet).cmdLoad,
	"loaded":   (*fleet).cmdLoaded,
}

// fleetKey is the key under which a script keeps its fleet.
type fleetKey struct{}

func TestScript(t *testing.T) {
	cmds := map[string]func(*testscript.TestScript, bool, []string){}
	for name, c := range commands {
		cmds[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			f := ts.Value(fleetKey{}).(*fleet)
			f.path = ts.Getenv("PATH")
			words, opts := split(args)
			err := c(f, words, opts)
			if neg {
				ts.Fatalf("%s can't be negated", name)
			}
			if err != nil {
				ts.Logf("%s", f.logs())
			}
			ts.Check(errors.Wrap(err, name))
		}
	}
	testscript.Run(t, testscript.Params{
		Files:               scripts(t),
		Cmds:                cmds,
		RequireExplicitExec: true,
		RequireUniqueNames:  true,
		Setup: func(e *testscript.Env) error {
			f, err := newFleet()
			if err != nil {
				return err
			}
			e.Values[fleetKey{}] = f
			e.Defer(f.close)
			return nil
		},
	})
}

// scripts returns the files to run: all but those in KNOWN-RED.txt, which it
// prints, unless the flag asks for them too.
func scripts(t *testing.T) []string {
	all, err := filepath.Glob("testdata/script/*.txtar")
	require.NoError(t, err)
	list, err := os.ReadFile("../../KNOWN-RED.txt")
	require.NoError(t, err)
	return slices.DeleteFunc(all, func(name string) bool {
		test := "TestScript/" + strings.TrimSuffix(filepath.Base(name), ".txtar") + " "
		listed := slices.ContainsFunc(strings.Split(string(list), "\n"), func(line string) bool {
			return strings.HasPrefix(line, test)
		})
		if !listed || *knownRed {
			return false
		}
		fmt.Println("passed over, listed in KNOWN-RED.txt:", test)
		return true
	})
}

// options are the name=value arguments of a command.
type options map[string]string

// split takes name=value arguments out of args. An operator such as "=" or ">="
// is a word.
func split(args []string) ([]string, options) {
	var words []string
	opts := options{}
	for _, a := range args {
		name, value, ok := strings.Cut(a, "=")
		if !ok || name == "" || strings.ContainsAny(name, "<>!=") {
			words = append(words, a)
			continue
		}
		opts[name] = value
	}
	return words, opts
}

// or returns the option called name, or a default.
func (o options) or(name, standard string) string {
	if v, ok := o[name]; ok {
		return v
	}
	return standard
}

// list returns the option called name as a list separated by commas.
func (o options) list(name string) []string {
	if o[name] == "" {
		return nil
	}
	return strings.Split(o[name], ",")
}

// testdata is the directory with the default declarations.
var testdata = os.DirFS("testdata/tree")
