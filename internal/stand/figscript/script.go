// Package figscript is the small language of the scenario scripts: commands for
// testscript that start stand-ins and real instances, send requests, bring
// failures about, and wait until what a promise says has come true.
//
// # Usage
//
//	func TestMain(m *testing.M) {
//		testscript.Main(m, map[string]func(){"figtrail": main})
//	}
//
//	func TestScript(t *testing.T) {
//		testscript.Run(t, figscript.Params(files, os.DirFS("testdata/tree")))
//	}
//
// A script keeps one fleet. Each instance is a process of its own and reaches all
// others through a relay of its own, so that any two can be parted:
//
//	fleet a1 b1 c1
//	network partition a1 b1,c1
//	send healed via=a1 count=3
//	expect healed answered notRun:overBudget
//
// Commands wait for conditions, never for a time; each wait has a limit.
package figscript

import (
	"io/fs"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/rogpeppe/go-internal/testscript"
)

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
	"explain":  (*fleet).cmdExplain,
	"avoid":    (*fleet).cmdAvoid,
	"becomes":  (*fleet).cmdBecomes,
	"until":    (*fleet).cmdUntil,
	"check":    (*fleet).cmdCheck,
	"load":     (*fleet).cmdLoad,
	"loaded":   (*fleet).cmdLoaded,
}

// fleetKey is the key under which a script keeps its fleet.
type fleetKey struct{}

// Params returns what testscript needs to run the files. The tree holds the
// declarations that a fleet starts with.
func Params(files []string, tree fs.FS) testscript.Params {
	return testscript.Params{
		Files:               files,
		Cmds:                testscriptCommands(),
		RequireExplicitExec: true,
		RequireUniqueNames:  true,
		Setup: func(e *testscript.Env) error {
			f, err := newFleet(tree)
			if err != nil {
				return err
			}
			e.Values[fleetKey{}] = f
			e.Defer(f.close)
			return nil
		},
	}
}

func testscriptCommands() map[string]func(*testscript.TestScript, bool, []string) {
	all := map[string]func(*testscript.TestScript, bool, []string){}
	for name, c := range commands {
		all[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			f := ts.Value(fleetKey{}).(*fleet)
			f.searchPath = ts.Getenv("PATH")
			words, opts := splitOptions(args)
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
	return all
}

// options are the name=value arguments of a command.
type options map[string]string

// splitOptions takes name=value arguments out of args. An operator such as "=" or ">="
// is a word.
func splitOptions(args []string) ([]string, options) {
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
