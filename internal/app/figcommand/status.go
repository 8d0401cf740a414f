package figcommand

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
	"github.com/valyala/fasthttp"
)

// statusTimeout is the timeout of the call to the instance.
const statusTimeout = 5 * time.Second

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
		Action: func(_ context.Context, c *cli.Command) error {
			code, body, err := fasthttp.GetTimeout(nil, "http://"+address+statusPath(all), statusTimeout)
			if err != nil {
				return withCode(errors.Wrapf(err, "status at %s", address), exitCheckFailed)
			}
			if code != fasthttp.StatusOK {
				return withCode(errors.Newf("status at %s: HTTP %d: %s", address, code, body), exitCheckFailed)
			}
			_, err = c.Root().Writer.Write(body)
			return err
		},
	}
}
