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
	// withdrawTimeout is the time after which a withdrawn key must be rejected.
	withdrawTimeout = 3 * time.Second
	// memoryTimeout is the time after which the engine memory of ended requests must be free.
	memoryTimeout = 5 * time.Second
	// maxRefusedFraction is the largest allowed fraction of requests that are refused although
	// their account is within its rate.
	maxRefusedFraction = 0.001
	// pollInterval is the interval between checks of a condition.
	pollInterval = 50 * time.Millisecond
)

// check returns one line for each guarantee that was violated during the run.
func check(ctx context.Context, f *figfleet.Fleet, t *figtimer.Timer, clients []*client, r *figload.Report) []string {
	var failures []string
	add := func(format string, args ...any) { failures = append(failures, fmt.Sprintf(format, args...)) }
	for _, a := range r.Accounts {
		if a.Wrong > 0 {
			add("%s: %d answers were incomplete or belonged to another request", a.Name, a.Wrong)
		}
		if a.Name == withdrawnAccount {
			continue
		}
		for reason, n := range a.Failed {
			add("%s: %d requests failed: %s", a.Name, n, reason)
		}
		if a.Name != greedyAccount && float64(a.RefusedInside) > maxRefusedFraction*float64(a.Offered) {
			add("%s: %d of %d requests were refused although the account was within its rate", a.Name, a.RefusedInside, a.Offered)
		}
	}
	failures = append(failures, checkRates(clients, r)...)
	failures = append(failures, r.CheckRefunds(f.PlainRuns)...)
	failures = append(failures, checkKeys(f, clients)...)
	if reserved := waitForMemory(ctx, f, t); reserved > 0 {
		add("%d pieces of engine memory are still reserved after all requests have ended", reserved)
	}
	return failures
}

// checkRates checks that no account received more tokens than its rate and burst allow.
func checkRates(clients []*client, r *figload.Report) []string {
	var failures []string
	for _, a := range r.Accounts {
		c := clientNamed(clients, a.Name)
		most := c.burst + int64(float64(c.rate)*r.Duration.Seconds())
		if a.Tokens > most {
			failures = append(failures, fmt.Sprintf("%s: received %d tokens, but rate and burst allow only %d", a.Name, a.Tokens, most))
		}
	}
	return failures
}

// checkKeys checks that no backend server received a key.
func checkKeys(f *figfleet.Fleet, clients []*client) []string {
	var failures []string
	for _, c := range clients {
		if f.ReceivedText(c.key.Text) {
			failures = append(failures, c.name+": a backend server received the key")
		}
	}
	return failures
}

// waitForMemory waits until no engine memory is reserved, or until memoryTimeout has passed.
// It returns the number of pieces that are still reserved.
func waitForMemory(ctx context.Context, f *figfleet.Fleet, t *figtimer.Timer) int {
	ctx, cancel := context.WithTimeout(ctx, memoryTimeout)
	defer cancel()
	for {
		reserved := f.ReservedPieces()
		if reserved == 0 || t.Sleep(ctx, pollInterval) != nil {
			return reserved
		}
	}
}

// withdrawalProbe withdraws a client account's key during the run and measures how long the
// instances still accept it.
type withdrawalProbe struct {
	*figfleet.Fleet

	timer  *figtimer.Timer
	client *client
}

// start withdraws the key after a delay. The channel receives the time from the withdrawal
// until all instances rejected the key, or 0 if ctx ended before the delay. It stops waiting
// after twice withdrawTimeout.
func (p *withdrawalProbe) start(ctx context.Context, delay time.Duration) <-chan time.Duration {
	acceptedFor := make(chan time.Duration, 1)
	go func() {
		if p.timer.Sleep(ctx, delay) != nil {
			acceptedFor <- 0
			return
		}
		p.Platform.Publish(p.client.path(), p.client.document(true))
		begun := p.timer.Now()
		ctx, cancel := context.WithTimeout(ctx, 2*withdrawTimeout)
		defer cancel()
		for _, address := range p.Callers() {
			for p.keyAccepted(ctx, address) && p.timer.Sleep(ctx, pollInterval) == nil {
			}
		}
		acceptedFor <- p.timer.Now().Sub(begun)
	}()
	return acceptedFor
}

// keyAccepted reports whether the instance at address accepts the key. It returns false, too,
// if the instance can't be reached.
func (p *withdrawalProbe) keyAccepted(ctx context.Context, address string) bool {
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

// check returns a line if the withdrawn key was accepted for longer than withdrawTimeout.
func (p *withdrawalProbe) check(acceptedFor time.Duration) []string {
	if acceptedFor <= withdrawTimeout {
		return nil
	}
	return []string{fmt.Sprintf("the withdrawn key was accepted for %v", acceptedFor)}
}
