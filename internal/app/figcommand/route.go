package figcommand

import (
	"context"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/urfave/cli/v3"
	"k8s.io/klog/v2"

	"figtrail.dev/figtrail/internal/app/figrouter"
	"figtrail.dev/figtrail/internal/edge/figlog"
	"figtrail.dev/figtrail/platform"
)

// memoryLimitPercent is the soft memory limit of the Go runtime, in percent of the
// available memory. The rest is for memory that the limit doesn't cover, such as the
// program itself and kernel buffers that are charged to the process.
const memoryLimitPercent = 70

func routeCommand() *cli.Command {
	s := figrouter.Defaults()
	check := false
	return &cli.Command{
		Name:  "route",
		Usage: "run one instance on a platform that declares routes by host and path",
		Description: "SIGTERM or SIGINT drains; a SIGINT while the instance drains stops it at once, and a further\n" +
			"SIGTERM changes nothing. SIGHUP reads the seeds file again.\n" +
			"Log lines go to standard output. If the log's buffer is full, lines are dropped and counted.",
		Flags: append(routeFlags(&s), &cli.BoolFlag{Name: "check", Usage: "check the settings and exit", Destination: &check}),
		Action: func(ctx context.Context, c *cli.Command) error {
			if err := joinFaults(s.Check()); err != nil {
				return withCode(err, exitUsage)
			}
			if check {
				fmt.Fprintln(c.Root().Writer, "the settings are valid")
				return nil
			}
			signals := catchSignals()
			log := figlog.New(os.Stdout, s.LogLines)
			defer log.Close()
			if err := logTo(log, s.Verbosity); err != nil {
				return withCode(err, exitUsage)
			}
			debug.SetMemoryLimit(int64(s.MemoryMB) << 20 * memoryLimitPercent / 100)
			return withCode(route(ctx, s, log, signals), exitServiceFailed)
		},
	}
}

// route runs an instance until it has drained, is interrupted while it drains or a service fails.
func route(ctx context.Context, s figrouter.Settings, log *figlog.Log, signals *processSignals) error {
	defer klog.Flush()
	klog.InfoS("starting", "version", version(), "settings", s)
	r, err := figrouter.New(s, platform.Adapter())
	if err != nil {
		return err
	}
	r.DroppedLines = log.Dropped.Load
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	signals.handle(ctx, r.Drain, cancel, func() {
		klog.InfoS("reload")
		r.ReloadSeeds()
	})
	err = r.Run(ctx)
	klog.InfoS("stopped", "err", err)
	return err
}

func routeFlags(s *figrouter.Settings) []cli.Flag {
	return []cli.Flag{
		stringFlag("name", "name of this instance", &s.Name),
		stringFlag("data-centre", "data centre of this instance", &s.DataCentre),
		stringFlag("listen", "listen address for callers", &s.Listen),
		stringFlag("peer-listen", "listen address for other instances", &s.PeerListen),
		stringFlag("peer-advertise", "address at which other instances reach this one, if it isn't the listen address", &s.PeerAdvertise),
		stringFlag("ready-listen", "listen address for the load balancer's health check", &s.ReadyListen),
		stringFlag("admin-listen", "listen address for operators", &s.AdminListen),
		stringFlag("ready-path", "path of the load balancer's health check", &s.ReadyPath),
		stringFlag("source", "address of the platform's configuration service, host:port", &s.Source),
		stringFlag("seeds-file", "file with the addresses of other instances", &s.SeedsFile),
		&cli.BoolFlag{Name: "starting", Usage: "set if the whole system starts for the first time", Destination: &s.Starting, Sources: env("starting")},
		intFlag("instances", "number of instances to assume until they have discovered each other", &s.Instances),
		wholeFlag("memory-mb", "memory available to the process, in MB", &s.MemoryMB),
		wholeFlag("descriptors", "file descriptors that the process may open", &s.Descriptors),
		intFlag("held-percent", "percentage of the memory for what callers and servers make the process hold", &s.HeldPercent),
		&cli.DurationFlag{Name: "stall-time", Usage: "time without progress after which a caller may be closed if others need the memory", Value: s.StallTime, Destination: &s.StallTime, Sources: env("stall-time")},
		&cli.FloatFlag{Name: "retry-fraction", Usage: "maximum retries of all instances, as a fraction of their requests", Value: s.RetryFraction, Destination: &s.RetryFraction, Sources: env("retry-fraction")},
		wholeFlag("retry-floor", "retries of all instances that are always allowed in ten seconds", &s.RetryFloor),
		&cli.DurationFlag{Name: "rate-window", Usage: "window in which an account may exceed its rate and burst by --rate-overage and --rate-slack; 0 for never", Value: s.RateWindow, Destination: &s.RateWindow, Sources: env("rate-window")},
		&cli.FloatFlag{Name: "rate-overage", Usage: "tolerated excess in the window, as a fraction of what rate and burst allow", Value: s.RateOverage, Destination: &s.RateOverage, Sources: env("rate-overage")},
		&cli.FloatFlag{Name: "rate-slack", Usage: "additional tolerated excess in the window, in the unit of the rate", Value: s.RateSlack, Destination: &s.RateSlack, Sources: env("rate-slack")},
		&cli.DurationFlag{Name: "grace", Usage: "time from SIGTERM until the process is killed", Value: s.Grace, Destination: &s.Grace, Sources: env("grace")},
		&cli.DurationFlag{Name: "drain-notice", Usage: "how long a draining instance still accepts requests", Value: s.DrainNotice, Destination: &s.DrainNotice, Sources: env("drain-notice")},
		intFlag("metric-accounts", "maximum number of client accounts with their own histograms", &s.MetricAccounts),
		intFlag("log-lines", "maximum number of buffered log lines", &s.LogLines),
		intFlag("verbosity", "log level", &s.Verbosity),
	}
}
