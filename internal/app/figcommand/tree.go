package figcommand

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"figtrail.dev/figtrail/internal/config/figtree"
)

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check a directory tree of declarations",
		ArgsUsage: "DIR",
		Description: "Prints path, line and reason of each fault, and exits with 1 if there are any.\n" +
			"It accepts and rejects the same documents as a running instance.",
		Action: func(_ context.Context, c *cli.Command) error {
			if err := wantArgs(c, 1); err != nil {
				return err
			}
			t, faults := figtree.LoadDir(c.Args().First())
			for _, f := range faults {
				fmt.Fprintln(c.Root().Writer, f.String())
			}
			if len(faults) > 0 {
				return withCode(errors.Newf("%d fault(s)", len(faults)), exitCheckFailed)
			}
			fmt.Fprintf(c.Root().Writer, "good: %d accounts, %d keys, %d pools, %d routes, %d data centres\n",
				t.AccountCount(), t.KeyCount(), len(t.Pools()), len(t.Routes), len(t.DataCentres))
			return nil
		},
	}
}

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "print the effective value of a field and the file that sets it",
		ArgsUsage: "DIR PATH",
		Description: "PATH consists of a directory, a section, a name in the section, and a field, such as\n" +
			"finance/accounts/treasury/tokensPerSecond, pools/language/promptLimit or finance/limits/burst.",
		Action: func(_ context.Context, c *cli.Command) error {
			if err := wantArgs(c, 2); err != nil {
				return err
			}
			value, file, line, err := figtree.Explain(c.Args().Get(0), c.Args().Get(1))
			if err != nil {
				return withCode(err, exitCheckFailed)
			}
			fmt.Fprintf(c.Root().Writer, "%s\t%s:%d\n", value, file, line)
			return nil
		},
	}
}
