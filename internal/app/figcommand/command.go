// Package figcommand implements the command line of figtrail. The main program only calls
// Main.
//
// # Usage
//
//	os.Exit(figcommand.Main(context.Background(), os.Args, os.Stdout, os.Stderr))
//
// Exit codes: 0 success; 1 a check failed (invalid declarations, a failed check of the
// demo, an unreachable instance); 2 invalid usage or settings; 3 a service failed while it
// ran, or the command failed otherwise.
package figcommand

import (
	"context"
	"fmt"
	"io"
	"runtime/debug"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

const (
	// exitCheckFailed means that a check failed, such as that of declarations.
	exitCheckFailed = 1
	// exitUsage means invalid usage or settings.
	exitUsage = 2
	// exitServiceFailed means that a service failed while it ran.
	exitServiceFailed = 3
)

// codedError is an error with an exit code.
type codedError struct {
	error
	code int
}

func (e *codedError) Unwrap() error { return e.error }

// withCode adds an exit code to err. It returns nil if err is nil.
func withCode(err error, code int) error {
	if err == nil {
		return nil
	}
	return &codedError{error: err, code: code}
}

// Main runs the command line args, whose first element is the program's name, and returns
// the exit code. It prints an error to stderr.
func Main(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	err := command(stdout, stderr).Run(ctx, args)
	if err == nil {
		return 0
	}
	if text := err.Error(); text != "" {
		fmt.Fprintln(stderr, "figtrail: "+text)
	}
	var c *codedError
	if errors.As(err, &c) {
		return c.code
	}
	return exitUsage
}

func command(stdout, stderr io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "figtrail",
		Usage: "route model requests between prefill and decode pools, and calls to plain services beside them",
		Description: "Exit codes: 0 success; 1 a check failed; 2 invalid usage or settings; 3 a service failed.\n" +
			"Every setting of serve is a flag and an environment variable FIGTRAIL_<NAME>.",
		Writer:         stdout,
		ErrWriter:      stderr,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			serveCommand(),
			routeCommand(),
			checkCommand(),
			explainCommand(),
			statusCommand(),
			keyCommand(),
			demoCommand(),
			versionCommand(),
		},
	}
}

func versionCommand() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the version of this build",
		Action: func(_ context.Context, c *cli.Command) error {
			fmt.Fprintln(c.Root().Writer, "figtrail", version())
			return nil
		},
	}
}

// version returns the module version, or the VCS revision if the binary was built from a
// checkout.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	if v := info.Main.Version; v != "" && v != "(devel)" {
		return v
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return s.Value
		}
	}
	return "development"
}

// wantArgs returns an error if the number of arguments isn't n.
func wantArgs(c *cli.Command, n int) error {
	if c.Args().Len() == n {
		return nil
	}
	return withCode(errors.Newf("%s takes %d argument(s): %s", c.Name, n, c.ArgsUsage), exitUsage)
}
