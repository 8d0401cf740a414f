package figcommand

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"

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
		Description: "SIGTERM or SIGINT drains: the instance stops being ready, goes on accepting for --drain-notice,\n" +
			"hands over what it holds and lets running requests end. A second signal ends it at once.\n" +
			"Log lines go to standard output; a full log drops lines and says how many.",
		Flags: serveFlags(&s),
		Action: func(ctx context.Context, c *cli.Command) error {
			if err := joinFaults(s.Check()); err != nil {
				return withCode(err, exitUsage)
			}
			log := figlog.New(os.Stdout, s.LogLines)
			defer log.Close()
			if err := logTo(log, s.Verbosity); err != nil {
				return withCode(err, exitUsage)
			}
			debug.SetMemoryLimit(s.MemoryLimit)
			return withCode(serve(ctx, s, log), exitFailed)
		},
	}
}

// serve runs an instance until it has drained or a second signal comes.
func serve(ctx context.Context, s figserve.Settings, log *figlog.Log) error {
	defer klog.Flush()
	klog.InfoS("starting", "version", version(), "settings", s)
	i, err := figserve.New(s)
	if err != nil {
		return err
	}
	i.DroppedLines = log.Dropped.Load
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer drainOnSignal(ctx, cancel, i.Drain)()
	err = i.Run(ctx)
	klog.InfoS("stopped", "err", err)
	return err
}

// drainOnSignal calls drain and then cancel at the first SIGTERM or SIGINT, and
// cancel at once at the second. The function that it returns ends the watch.
func drainOnSignal(ctx context.Context, cancel context.CancelFunc, drain func(context.Context)) (stop func()) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-signals:
			go func() {
				drain(ctx)
				cancel()
			}()
		case <-ctx.Done():
			return
		}
		select {
		case <-signals:
			klog.InfoS("second signal; ending at once")
			cancel()
		case <-ctx.Done():
		}
	}()
	return func() { signal.Stop(signals) }
}

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
		stringFlag("name", "name of this instance on the published list", &s.Name),
		stringFlag("data-centre", "data centre that it stands in", &s.DataCentre),
		stringFlag("listen", "address for callers", &s.Listen),
		stringFlag("peer-listen", "address for the other instances", &s.PeerListen),
		stringFlag("admin-listen", "address for operators", &s.AdminListen),
		stringFlag("platform", "address of the platform's service, host:port", &s.Platform),
		&cli.StringSliceFlag{Name: "seeds", Usage: "peer addresses to ask while the platform's service is down", Destination: &s.Seeds, Sources: env("seeds")},
		&cli.Int64Flag{Name: "memory-limit", Usage: "memory that the process tries to stay below, in bytes", Value: s.MemoryLimit, Destination: &s.MemoryLimit, Sources: env("memory-limit")},
		intFlag("workers", "most requests in progress", &s.Workers),
		intFlag("body-limit", "largest request body, in bytes", &s.BodyLimit),
		intFlag("header-limit", "largest request header, in bytes", &s.HeaderLimit),
		&cli.Int64Flag{Name: "answer-limit", Usage: "largest answer of a plain service, in bytes", Value: s.AnswerLimit, Destination: &s.AnswerLimit, Sources: env("answer-limit")},
		&cli.DurationFlag{Name: "slow-caller", Usage: "how long a stream waits for a caller that doesn't read", Value: s.SlowCaller, Destination: &s.SlowCaller, Sources: env("slow-caller")},
		&cli.DurationFlag{Name: "drain-notice", Usage: "how long a draining instance goes on accepting", Value: s.DrainNotice, Destination: &s.DrainNotice, Sources: env("drain-notice")},
		&cli.DurationFlag{Name: "drain-limit", Usage: "how long running requests may take to end after that", Value: s.DrainLimit, Destination: &s.DrainLimit, Sources: env("drain-limit")},
		intFlag("verbosity", "level of log lines", &s.Verbosity),
		intFlag("metric-accounts", "client accounts with histograms of their own", &s.MetricAccounts),
		intFlag("log-lines", "log lines that may wait to be written", &s.LogLines),
	}
}

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
