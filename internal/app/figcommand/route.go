package figcommand

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/urfave/cli/v3"
	"k8s.io/klog/v2"

	"figtrail.dev/figtrail/internal/app/figrouter"
	"figtrail.dev/figtrail/internal/edge/figlog"
	"figtrail.dev/figtrail/platform"
)

// heapPart is the part of the memory that the heap tries to stay below, in percent.
// The rest is for stacks, buffers of the kernel that count, and the program itself.
const heapPart = 70

func routeCommand() *cli.Command {
	s := figrouter.Defaults()
	check := false
	return &cli.Command{
		Name:  "route",
		Usage: "run one instance on a platform that declares routes by host and path",
		Description: "SIGTERM or SIGINT drains, a second signal ends at once. SIGHUP reads the seeds file again.\n" +
			"Log lines go to standard output; a full log drops lines and says how many.",
		Flags: append(routeFlags(&s), &cli.BoolFlag{Name: "check", Usage: "check the settings and end", Destination: &check}),
		Action: func(ctx context.Context, c *cli.Command) error {
			if err := joinFaults(s.Check()); err != nil {
				return withCode(err, exitUsage)
			}
			if check {
				fmt.Fprintln(c.Root().Writer, "the settings are right")
				return nil
			}
			log := figlog.New(os.Stdout, s.LogLines)
			defer log.Close()
			if err := logTo(log, s.Verbosity); err != nil {
				return withCode(err, exitUsage)
			}
			debug.SetMemoryLimit(int64(s.MemoryMB) << 20 * heapPart / 100)
			return withCode(route(ctx, s, log), exitFailed)
		},
	}
}

// route runs an instance until it has drained or a second signal comes.
func route(ctx context.Context, s figrouter.Settings, log *figlog.Log) error {
	defer klog.Flush()
	klog.InfoS("starting", "version", version(), "settings", s)
	r, err := figrouter.New(s, platform.Adapter())
	if err != nil {
		return err
	}
	r.DroppedLines = log.Dropped.Load
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer followReloads(r)()
	defer drainOnSignal(ctx, cancel, func(ctx context.Context) { r.Drain(ctx) })()
	err = r.Run(ctx)
	klog.InfoS("stopped", "err", err)
	return err
}

// followReloads reads the settings that may change again at each SIGHUP.
func followReloads(r *figrouter.Router) (stop func()) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go func() {
		for range hangups {
			klog.InfoS("reload")
			r.Reload()
		}
	}()
	return func() {
		signal.Stop(hangups)
		close(hangups)
	}
}

func routeFlags(s *figrouter.Settings) []cli.Flag {
	return []cli.Flag{
		stringFlag("name", "name of this instance", &s.Name),
		stringFlag("data-centre", "data centre that it stands in", &s.DataCentre),
		stringFlag("listen", "address for callers", &s.Listen),
		stringFlag("peer-listen", "address for the other instances", &s.PeerListen),
		stringFlag("ready-listen", "address at which the balancer asks for readiness", &s.ReadyListen),
		stringFlag("admin-listen", "address for operators", &s.AdminListen),
		stringFlag("ready-path", "path at which the balancer asks for readiness", &s.ReadyPath),
		stringFlag("source", "address of what the platform publishes, host:port", &s.Source),
		stringFlag("seeds-file", "file that names other instances", &s.SeedsFile),
		&cli.BoolFlag{Name: "starting", Usage: "the whole system starts for the first time", Destination: &s.Starting, Sources: env("starting")},
		intFlag("instances", "instances to presume until they have heard of each other", &s.Instances),
		intFlag("memory-mb", "memory of the machine, in MB", &s.MemoryMB),
		intFlag("descriptors", "descriptors that the process may open", &s.Descriptors),
		&cli.FloatFlag{Name: "retry-fraction", Usage: "sends beyond the first, as a part of the requests of all instances", Value: s.RetryFraction, Destination: &s.RetryFraction, Sources: env("retry-fraction")},
		intFlag("retry-floor", "sends beyond the first that ten seconds allow at all instances", &s.RetryFloor),
		&cli.DurationFlag{Name: "rate-window", Usage: "time over which operators tolerate more than an account's rate; 0 for never", Value: s.RateWindow, Destination: &s.RateWindow, Sources: env("rate-window")},
		&cli.FloatFlag{Name: "rate-overage", Usage: "what they tolerate there, as a part of rate and burst", Value: s.RateOverage, Destination: &s.RateOverage, Sources: env("rate-overage")},
		&cli.FloatFlag{Name: "rate-slack", Usage: "what they tolerate there besides, in the unit of the rate", Value: s.RateSlack, Destination: &s.RateSlack, Sources: env("rate-slack")},
		&cli.DurationFlag{Name: "grace", Usage: "time from SIGTERM until the process is killed", Value: s.Grace, Destination: &s.Grace, Sources: env("grace")},
		&cli.DurationFlag{Name: "drain-notice", Usage: "how long a draining instance goes on accepting", Value: s.DrainNotice, Destination: &s.DrainNotice, Sources: env("drain-notice")},
		intFlag("metric-accounts", "client accounts with histograms of their own", &s.MetricAccounts),
		intFlag("log-lines", "log lines that may wait to be written", &s.LogLines),
		intFlag("verbosity", "level of log lines", &s.Verbosity),
	}
}
