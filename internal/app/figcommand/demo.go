package figcommand

import (
	"context"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"figtrail.dev/figtrail/internal/app/figdemo"
)

const (
	// demoDuration is how long the demo sends load.
	demoDuration = 8 * time.Second
	// demoSeed makes runs of the demo alike.
	demoSeed = 1
)

func demoCommand() *cli.Command {
	o := figdemo.Options{Duration: demoDuration, Seed: demoSeed}
	logs := false
	return &cli.Command{
		Name:  "demo",
		Usage: "run three instances and stand-ins in this process, send a mixed load, and check the promises",
		Description: "Exits with 0 only if every promise that the demo can see was kept. With --keep it then goes on\n" +
			"until it is interrupted, and prints lines for curl.",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "duration", Usage: "how long to send load", Value: o.Duration, Destination: &o.Duration},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the load", Value: o.Seed, Destination: &o.Seed},
			&cli.BoolFlag{Name: "json", Usage: "print the result in JSON only", Destination: &o.JSON},
			&cli.BoolFlag{Name: "logs", Usage: "show the instances' log lines, too", Destination: &logs},
			&cli.BoolFlag{Name: "keep", Usage: "leave everything running afterwards", Destination: &o.Keep},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			if o.Duration <= 0 {
				return withCode(errors.New("--duration must be above 0"), exitUsage)
			}
			if !logs {
				discardLogs()
			}
			ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			return withCode(figdemo.Run(ctx, o, c.Root().Writer), exitFinding)
		},
	}
}
