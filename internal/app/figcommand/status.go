package figcommand

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"figtrail.dev/figtrail/internal/config/figfetch"
)

const (
	// statusTimeout is the timeout of the call to the instance.
	statusTimeout = 5 * time.Second
	// maxStatusBytes bounds the status, which with --all is that of hundreds of instances.
	maxStatusBytes = 64 << 20
)

func statusPath(all bool) string {
	if all {
		return "/status/all"
	}
	return "/status"
}

func statusCommand() *cli.Command {
	address := "127.0.0.1:8082"
	all := false
	return &cli.Command{
		Name:  "status",
		Usage: "print the status of a running instance, or of all instances that it knows, as JSON",
		Flags: []cli.Flag{
			stringFlag("admin", "admin address of the instance, host:port", &address),
			&cli.BoolFlag{Name: "all", Usage: "also ask all instances that this one knows", Destination: &all},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			f := figfetch.New(figfetch.Options{Address: address, Timeout: statusTimeout, BodyLimit: maxStatusBytes})
			answer, err := f.Get(ctx, statusPath(all), 0)
			if err != nil {
				return withCode(errors.Wrapf(err, "status at %s", address), exitCheckFailed)
			}
			if answer.Status != http.StatusOK {
				return withCode(errors.Newf("status at %s: HTTP %d: %s", address, answer.Status, answer.Body), exitCheckFailed)
			}
			_, err = c.Root().Writer.Write(answer.Body)
			return err
		},
	}
}
