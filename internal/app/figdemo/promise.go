package figdemo

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"figtrail.dev/figtrail/internal/app/figfleet"
	"figtrail.dev/figtrail/internal/core/figtimer"
	"figtrail.dev/figtrail/internal/stand/figload"
)

const (
	// firstToken and betweenTokens are the latency targets.
	firstToken    = 1400 * time.Millisecond
	betweenTokens = 34 * time.Millisecond
	// withdrawLimit is how soon a withdrawn key must have stopped working.
	withdrawLimit = 3 * time.Second
	// memoryLimit is how soon engine memory of ended requests must be free.
	memoryLimit = 5 * time.Second
	// insideShare is the largest share of requests inside their rate that may be
	// refused.
	insideShare = 0.001
	// settleInterval is how often something is looked up again.
	settleInterval = 50 * time.Millisecond
)

// check returns the promises that the run broke.
func check(ctx context.Context, f *figfleet.Fleet, t *figtimer.Timer, clients []*client, r *figload.Report) []string {
	var broken []string
	add := func(format string, args ...any) { broken = append(broken, fmt.Sprintf(format, args...)) }
	for _, a := range r.Accounts {
		if a.Wrong > 0 {
			add("%s: %d answers were not whole or not the caller's own", a.Name, a.Wrong)
		}
		if a.Name == withdrawn {
			continue
		}
		for reason, n := range a.Failed {
			add("%s: %d requests failed: %s", a.Name, n, reason)
		}
		if a.Name != greedy && float64(a.RefusedInside) > insideShare*float64(a.Offered) {
			add("%s: %d of %d requests were refused inside the rate", a.Name, a.RefusedInside, a.Offered)
		}
	}
	broken = append(broken, checkRates(clients, r)...)
	broken = append(broken, r.CheckRefunds(f.Runs)...)
	broken = append(broken, checkKeys(f, clients)...)
	if held := waitForMemory(ctx, f, t); held > 0 {
		add("%d pieces of engine memory are held by requests that are gone", held)
	}
	return broken
}

// checkRates compares what each account was given with its rate and burst.
func checkRates(clients []*client, r *figload.Report) []string {
	var broken []string
	for _, a := range r.Accounts {
		c := clientNamed(clients, a.Name)
		most := c.burst + int64(float64(c.rate)*r.Duration.Seconds())
		if a.Tokens > most {
			broken = append(broken, fmt.Sprintf("%s: got %d tokens; rate and burst allow %d", a.Name, a.Tokens, most))
		}
	}
	return broken
}

// checkKeys looks for keys in all that reached a backend server.
func checkKeys(f *figfleet.Fleet, clients []*client) []string {
	var broken []string
	for _, c := range clients {
		if f.Saw(c.key.Text) {
			broken = append(broken, c.name+": a backend server saw the key")
		}
	}
	return broken
}

// waitForMemory waits until the engines hold nothing, and returns what they hold
// at the limit.
func waitForMemory(ctx context.Context, f *figfleet.Fleet, t *figtimer.Timer) int {
	ctx, cancel := context.WithTimeout(ctx, memoryLimit)
	defer cancel()
	for {
		held := f.Held()
		if held == 0 || t.Sleep(ctx, settleInterval) != nil {
			return held
		}
	}
}

// probe withdraws a key on the way and measures how long it goes on working.
type probe struct {
	*figfleet.Fleet

	timer  *figtimer.Timer
	client *client
}

// start withdraws the key after a while. The channel gives how long the key still
// worked after that, at any instance.
func (p *probe) start(ctx context.Context, after time.Duration) <-chan time.Duration {
	worked := make(chan time.Duration, 1)
	go func() {
		if p.timer.Sleep(ctx, after) != nil {
			worked <- 0
			return
		}
		p.Platform.Publish(p.client.path(), p.client.document(true))
		begun := p.timer.Now()
		ctx, cancel := context.WithTimeout(ctx, 2*withdrawLimit)
		defer cancel()
		for _, address := range p.Callers() {
			for p.works(ctx, address) && p.timer.Sleep(ctx, settleInterval) == nil {
			}
		}
		worked <- p.timer.Now().Sub(begun)
	}()
	return worked
}

// works says whether an instance still accepts the key.
func (p *probe) works(ctx context.Context, address string) bool {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/models", nil)
	if err != nil {
		return false
	}
	q.Header.Set("Authorization", "Bearer "+p.client.key.Text)
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		return false
	}
	_ = a.Body.Close()
	return a.StatusCode != http.StatusUnauthorized
}

func (p *probe) check(worked time.Duration) []string {
	if worked <= withdrawLimit {
		return nil
	}
	return []string{fmt.Sprintf("the withdrawn key worked for %v", worked)}
}
