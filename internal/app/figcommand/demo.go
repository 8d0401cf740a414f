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
	// demoDuration is the default of --duration.
	demoDuration = 8 * time.Second
	// demoSeed is the default of --seed.
	demoSeed = 1
)

func demoCommand() *cli.Command {
	o := figdemo.Options{Duration: demoDuration, Seed: demoSeed}
	logs := false
	return &cli.Command{
		Name:  "demo",
		Usage: "run three instances and emulated servers in this process, send a mixed load, and check the guarantees",
		Description: "Exits with 0 only if every check passed. With --keep, everything then runs until interrupted,\n" +
			"and example curl commands are printed.",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "duration", Usage: "how long to send load", Value: o.Duration, Destination: &o.Duration},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the random load", Value: o.Seed, Destination: &o.Seed},
			&cli.BoolFlag{Name: "json", Usage: "print only the result, as JSON", Destination: &o.JSON},
			&cli.BoolFlag{Name: "logs", Usage: "also print the instances' log lines", Destination: &logs},
			&cli.BoolFlag{Name: "keep", Usage: "keep everything running after the checks", Destination: &o.Keep},
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
			return withCode(figdemo.Run(ctx, o, c.Root().Writer), exitCheckFailed)
		},
	}
}
