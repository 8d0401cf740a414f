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
		Usage:     "check a tree of declarations as kept in version control",
		ArgsUsage: "DIR",
		Description: "Prints path, line and reason of each fault and exits with 1 if there is any.\n" +
			"It takes and refuses the same documents as a running instance.",
		Action: func(_ context.Context, c *cli.Command) error {
			if err := wantArgs(c, 1); err != nil {
				return err
			}
			t, faults := figtree.LoadDir(c.Args().First())
			for _, f := range faults {
				fmt.Fprintln(c.Root().Writer, f.String())
			}
			if len(faults) > 0 {
				return withCode(errors.Newf("%d fault(s)", len(faults)), exitFinding)
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
		Usage:     "show a value in force and the file that set it",
		ArgsUsage: "DIR PATH",
		Description: "PATH is a directory, a section, a name in it and a field, such as\n" +
			"finance/accounts/treasury/tokensPerSecond, pools/language/promptLimit or finance/limits/burst.",
		Action: func(_ context.Context, c *cli.Command) error {
			if err := wantArgs(c, 2); err != nil {
				return err
			}
			value, file, line, err := figtree.Explain(c.Args().Get(0), c.Args().Get(1))
			if err != nil {
				return withCode(err, exitFinding)
			}
			fmt.Fprintf(c.Root().Writer, "%s\t%s:%d\n", value, file, line)
			return nil
		},
	}
}
