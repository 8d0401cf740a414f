// Package figdemo runs a small fleet in one process on the loopback interface: emulators of
// the platform, two prefill and three decode servers and a ledger service, and three
// instances. It sends a mixed load for five client accounts: one sends several times its
// rate, and the key of another is withdrawn during the run. It then checks all guarantees
// that can be observed from outside.
//
// # Usage
//
//	err := figdemo.Run(ctx, figdemo.Options{Duration: 8 * time.Second, Seed: 1}, os.Stdout)
//
// The error lists the checks that failed.
package figdemo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"figtrail.dev/figtrail/internal/app/figfleet"
	"figtrail.dev/figtrail/internal/core/figtimer"
	"figtrail.dev/figtrail/internal/limit/figbudget"
	"figtrail.dev/figtrail/internal/stand/figload"
)

// Options holds the settings of a run.
type Options struct {
	// Duration is how long load is sent.
	Duration time.Duration
	// Seed is the seed of the random load; the same seed gives the same load.
	Seed uint64
	// JSON prints only the result, as JSON.
	JSON bool
	// Keep keeps everything running after the checks until the context ends.
	Keep bool
}

// result is the output of --json.
type result struct {
	Load   *figload.Report `json:"load"`
	Broken []string        `json:"broken"`
}

// Run runs the demo and prints its progress and result to w. It returns an error if the
// demo can't run or a check fails.
func Run(ctx context.Context, o Options, w io.Writer) error {
	clients, err := newClients()
	if err != nil {
		return err
	}
	documents := map[string]string{"base": baseDocument()}
	for _, c := range clients {
		documents[c.path()] = c.document(false)
	}
	progress := w
	if o.JSON {
		progress = io.Discard
	}
	fmt.Fprintln(progress, "starting the emulators and three instances")
	f, err := figfleet.Start(ctx, plan(documents))
	if err != nil {
		return err
	}
	failures, err := runLoad(ctx, o, f, clients, progress, w)
	if err == nil && o.Keep {
		waitWithExamples(ctx, f, clients, w)
	}
	if err = errors.CombineErrors(err, f.Close()); err != nil {
		return err
	}
	if len(failures) > 0 {
		return errors.Newf("failed checks:\n  %s", strings.Join(failures, "\n  "))
	}
	return nil
}

// runLoad prints one streamed answer to progress, sends the load, and returns the failed
// checks. It prints the result to w.
func runLoad(ctx context.Context, o Options, f *figfleet.Fleet, clients []*client, progress, w io.Writer) ([]string, error) {
	fmt.Fprintln(progress, "one streamed answer:")
	if err := showStream(ctx, f.Callers()[0], clients[0].key.Text, progress); err != nil {
		return nil, err
	}
	t := figtimer.New(figtimer.System())
	stop := showProgress(ctx, t, o.Duration, progress)
	p := &withdrawalProbe{Fleet: f, timer: t, client: clientNamed(clients, withdrawnAccount)}
	keyWorkedFor := p.start(ctx, o.Duration/2)
	report, err := figload.Run(ctx, loadOptions(o, f, clients))
	stop()
	if err != nil {
		return nil, err
	}
	failures := check(ctx, f, t, clients, report)
	failures = append(failures, p.check(<-keyWorkedFor)...)
	if o.JSON {
		return failures, json.NewEncoder(w).Encode(result{Load: report, Broken: failures})
	}
	if err := report.Table(w); err != nil {
		return nil, err
	}
	if len(failures) == 0 {
		fmt.Fprintln(w, "all checks passed")
	}
	return failures, nil
}

func loadOptions(o Options, f *figfleet.Fleet, clients []*client) figload.Options {
	lo := figload.Options{
		Targets:       f.Callers(),
		Duration:      o.Duration,
		Seed:          o.Seed,
		FirstToken:    firstToken,
		BetweenTokens: betweenTokens,
		Charge: func(prompt string, output int) int64 {
			return figbudget.EstimateTokens([]byte(prompt)) + int64(output)
		},
	}
	for _, c := range clients {
		lo.Accounts = append(lo.Accounts, c.loadAccount())
	}
	return lo
}

// clientNamed returns the client account called name, or nil if there is none.
func clientNamed(clients []*client, name string) *client {
	for _, c := range clients {
		if c.name == name {
			return c
		}
	}
	return nil
}

// waitWithExamples prints example curl commands and waits until ctx ends.
func waitWithExamples(ctx context.Context, f *figfleet.Fleet, clients []*client, w io.Writer) {
	fmt.Fprintf(w, "still running; interrupt to stop. Try:\n"+
		"  curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' \\\n"+
		"    -d '{\"model\":%q,\"stream\":true,\"max_tokens\":20,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}'\n"+
		"  curl http://%s/status\n",
		f.Callers()[0], clients[0].key.Text, modelName, f.Instances[0].AdminAddress())
	<-ctx.Done()
}
