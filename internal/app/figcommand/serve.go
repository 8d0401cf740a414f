package figcommand

import (
	"context"
	"os"
	"runtime/debug"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
	"k8s.io/klog/v2"

	"figtrail.dev/figtrail/internal/app/figserve"
	"figtrail.dev/figtrail/internal/edge/figlog"
)

func serveCommand() *cli.Command {
	s := figserve.Defaults()
	return &cli.Command{
		Name:  "serve",
		Usage: "run one instance",
		Description: "SIGTERM or SIGINT drains: the instance reports that it isn't ready, still accepts requests for\n" +
			"--drain-notice, lets running requests end and hands its state over. A SIGINT while it drains stops it\n" +
			"at once, and a further SIGTERM changes nothing. SIGHUP is ignored: there is nothing to read again.\n" +
			"Log lines go to standard output. If the log's buffer is full, lines are dropped and counted.",
		Flags: serveFlags(&s),
		Action: func(ctx context.Context, c *cli.Command) error {
			if err := joinFaults(s.Check()); err != nil {
				return withCode(err, exitUsage)
			}
			signals := catchSignals()
			log := figlog.New(os.Stdout, s.LogLines)
			defer log.Close()
			if err := logTo(log, s.Verbosity); err != nil {
				return withCode(err, exitUsage)
			}
			debug.SetMemoryLimit(s.MemoryLimit)
			return withCode(serve(ctx, s, log, signals), exitServiceFailed)
		},
	}
}

// serve runs an instance until it has drained, is interrupted while it drains or a service fails.
func serve(ctx context.Context, s figserve.Settings, log *figlog.Log, signals *processSignals) error {
	defer klog.Flush()
	klog.InfoS("starting", "version", version(), "settings", s)
	i, err := figserve.New(s)
	if err != nil {
		return err
	}
	i.DroppedLines = log.Dropped.Load
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	signals.handle(ctx, i.Drain, cancel, func() { klog.InfoS("nothing to reload; ignoring SIGHUP") })
	err = i.Run(ctx)
	klog.InfoS("stopped", "err", err)
	return err
}

// env returns the environment variable of a flag, such as FIGTRAIL_DATA_CENTRE for data-centre.
func env(name string) cli.ValueSourceChain {
	return cli.EnvVars("FIGTRAIL_" + strings.ToUpper(strings.ReplaceAll(name, "-", "_")))
}

func stringFlag(name, usage string, p *string) cli.Flag {
	return &cli.StringFlag{Name: name, Usage: usage, Value: *p, Destination: p, Sources: env(name)}
}

func intFlag(name, usage string, p *int) cli.Flag {
	return &cli.IntFlag{Name: name, Usage: usage, Value: *p, Destination: p, Sources: env(name)}
}

func serveFlags(s *figserve.Settings) []cli.Flag {
	return []cli.Flag{
		stringFlag("name", "name of this instance on the published list of instances", &s.Name),
		stringFlag("data-centre", "data centre of this instance", &s.DataCentre),
		stringFlag("listen", "listen address for callers", &s.Listen),
		stringFlag("peer-listen", "listen address for other instances", &s.PeerListen),
		stringFlag("admin-listen", "listen address for operators", &s.AdminListen),
		stringFlag("platform", "address of the platform's configuration service, host:port", &s.Platform),
		&cli.StringSliceFlag{Name: "seeds", Usage: "peer addresses of instances to ask while the platform's configuration service is down", Destination: &s.Seeds, Sources: env("seeds")},
		&cli.Int64Flag{Name: "memory-limit", Usage: "soft memory limit of the Go runtime, in bytes", Value: s.MemoryLimit, Destination: &s.MemoryLimit, Sources: env("memory-limit")},
		intFlag("workers", "maximum number of concurrent requests", &s.Workers),
		intFlag("body-limit", "maximum size of a request body, in bytes", &s.BodyLimit),
		intFlag("header-limit", "maximum size of a request header, in bytes", &s.HeaderLimit),
		&cli.Int64Flag{Name: "answer-limit", Usage: "maximum size of a plain service's answer, in bytes", Value: s.AnswerLimit, Destination: &s.AnswerLimit, Sources: env("answer-limit")},
		&cli.DurationFlag{Name: "slow-caller", Usage: "timeout for a streaming caller that doesn't read", Value: s.SlowCaller, Destination: &s.SlowCaller, Sources: env("slow-caller")},
		&cli.DurationFlag{Name: "drain-notice", Usage: "how long a draining instance still accepts requests", Value: s.DrainNotice, Destination: &s.DrainNotice, Sources: env("drain-notice")},
		&cli.DurationFlag{Name: "drain-limit", Usage: "how long a draining instance then waits for its running requests", Value: s.DrainLimit, Destination: &s.DrainLimit, Sources: env("drain-limit")},
		intFlag("verbosity", "log level", &s.Verbosity),
		intFlag("metric-accounts", "maximum number of client accounts with their own histograms", &s.MetricAccounts),
		intFlag("log-lines", "maximum number of buffered log lines", &s.LogLines),
	}
}

// joinFaults returns one error with the text of each fault on its own line, or nil if there
// are none.
func joinFaults(faults []error) error {
	if len(faults) == 0 {
		return nil
	}
	texts := make([]string, 0, len(faults))
	for _, f := range faults {
		texts = append(texts, f.Error())
	}
	return errors.New(strings.Join(texts, "\n  "))
}
