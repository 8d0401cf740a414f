// Package figdemo runs a small fleet in one process on loopback: the stand-ins
// of the platform, two prefill and three decode servers, a ledger, and three
// instances. It sends a mixed load for five client accounts, of which one sends
// several times its rate and one loses its key on the way, and checks every
// promise that can be seen from outside.
//
// # Usage
//
//	err := figdemo.Run(ctx, figdemo.Options{Duration: 8 * time.Second, Seed: 1}, os.Stdout)
//
// The error names the promises that were broken.
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

// Options are the settings of a run.
type Options struct {
	// Duration is how long load is sent.
	Duration time.Duration
	// Seed makes the load the same again.
	Seed uint64
	// JSON prints the result in JSON only.
	JSON bool
	// Keep leaves everything running until the context ends.
	Keep bool
}

// result is what --json prints.
type result struct {
	Load   *figload.Report `json:"load"`
	Broken []string        `json:"broken"`
}

// Run runs the demo and prints to w.
func Run(ctx context.Context, o Options, w io.Writer) error {
	clients, err := newClients()
	if err != nil {
		return err
	}
	documents := map[string]string{"base": base()}
	for _, c := range clients {
		documents[c.path()] = c.document(false)
	}
	say := w
	if o.JSON {
		say = io.Discard
	}
	fmt.Fprintln(say, "starting stand-ins and three instances")
	f, err := figfleet.Start(ctx, plan(documents))
	if err != nil {
		return err
	}
	broken, err := run(ctx, o, f, clients, say, w)
	if err == nil && o.Keep {
		keep(ctx, f, clients, w)
	}
	if err = errors.CombineErrors(err, f.Close()); err != nil {
		return err
	}
	if len(broken) > 0 {
		return errors.Newf("promises broken:\n  %s", strings.Join(broken, "\n  "))
	}
	return nil
}

// run shows one answer, sends the load and checks the promises.
func run(ctx context.Context, o Options, f *figfleet.Fleet, clients []*client, say, w io.Writer) ([]string, error) {
	fmt.Fprintln(say, "one streamed answer:")
	if err := showStream(ctx, f.Callers()[0], clients[0].key.Text, say); err != nil {
		return nil, err
	}
	t := figtimer.New(figtimer.System())
	stop := showProgress(ctx, t, o.Duration, say)
	p := &probe{Fleet: f, timer: t, client: clientNamed(clients, withdrawn)}
	withdrawnAt := p.start(ctx, o.Duration/2)
	report, err := figload.Run(ctx, options(o, f, clients))
	stop()
	if err != nil {
		return nil, err
	}
	broken := check(ctx, f, t, clients, report)
	broken = append(broken, p.check(<-withdrawnAt)...)
	if o.JSON {
		return broken, json.NewEncoder(w).Encode(result{Load: report, Broken: broken})
	}
	if err := report.Table(w); err != nil {
		return nil, err
	}
	if len(broken) == 0 {
		fmt.Fprintln(w, "all promises that can be seen from here were kept")
	}
	return broken, nil
}

func options(o Options, f *figfleet.Fleet, clients []*client) figload.Options {
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
		lo.Accounts = append(lo.Accounts, c.load())
	}
	return lo
}

func clientNamed(clients []*client, name string) *client {
	for _, c := range clients {
		if c.name == name {
			return c
		}
	}
	return nil
}

// keep prints lines for curl and waits until ctx ends.
func keep(ctx context.Context, f *figfleet.Fleet, clients []*client, w io.Writer) {
	fmt.Fprintf(w, "still running; interrupt to end. Try:\n"+
		"  curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' \\\n"+
		"    -d '{\"model\":%q,\"stream\":true,\"max_tokens\":20,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}'\n"+
		"  curl http://%s/status\n",
		f.Callers()[0], clients[0].key.Text, modelName, f.Instances[0].AdminAddress())
	<-ctx.Done()
}
