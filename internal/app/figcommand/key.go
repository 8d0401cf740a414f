package figcommand

import (
	"context"
	"encoding/hex"
	"fmt"

	"github.com/urfave/cli/v3"

	"figtrail.dev/figtrail/internal/limit/figkey"
)

func keyCommand() *cli.Command {
	return &cli.Command{
		Name:        "key",
		Usage:       "generate a key for a client account",
		Description: "Prints the key for the caller, which isn't stored anywhere, and the entry for the account's declaration.",
		Action: func(_ context.Context, c *cli.Command) error {
			k, err := figkey.New()
			if err != nil {
				return withCode(err, exitServiceFailed)
			}
			_, err = fmt.Fprintf(c.Root().Writer, "key: %s\ndeclare:\n  keys:\n    - id: %q\n      salt: %q\n      hash: %q\n",
				k.Text, k.ID, hex.EncodeToString(k.Salt), hex.EncodeToString(k.Hash))
			return err
		},
	}
}
