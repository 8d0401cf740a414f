// Package figscript implements the command language of the scenario scripts. Its
// testscript commands start emulated backend servers and real instances, send requests,
// inject faults, and wait until the expected state is reached.
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
// Each script has one fleet. Every instance is a separate process and connects to each
// other process through a separate relay, so that a script can partition any two of them:
//
//	fleet a1 b1 c1
//	network partition a1 b1,c1
//	send healed via=a1 count=3
//	expect healed answered notRun:overBudget
//
// Commands never sleep for a fixed time: they poll a condition until it holds or a time
// limit is reached, or wait for calls, loads or processes to end.
package figscript

import (
	"io/fs"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/rogpeppe/go-internal/testscript"
)

// command runs a script command. words are its positional arguments, opts its
// name=value arguments.
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

// fleetKey is the key of a script's fleet in testscript.Env.Values.
type fleetKey struct{}

// Params returns the testscript parameters that run the script files. The YAML files in
// tree are the default declarations; the command fleet publishes them.
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
				ts.Fatalf("command %s can't be negated with !", name)
			}
			if err != nil {
				ts.Logf("%s", f.logs())
			}
			ts.Check(errors.Wrap(err, name))
		}
	}
	return all
}

// options holds the name=value arguments of a command.
type options map[string]string

// splitOptions separates args into positional arguments and name=value options. An
// operator such as "=" or ">=" is a positional argument.
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

// or returns the option name, or defaultValue if the option is not set.
func (o options) or(name, defaultValue string) string {
	if v, ok := o[name]; ok {
		return v
	}
	return defaultValue
}

// list returns the comma-separated values of the option name, or nil if it is empty or not set.
func (o options) list(name string) []string {
	if o[name] == "" {
		return nil
	}
	return strings.Split(o[name], ",")
}
