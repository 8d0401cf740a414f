package figquarantine

import (
	"context"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"figtrail.dev/figtrail/internal/config/figcatalogue"
)

const (
	// investigationTime is how long a server is checked after a connection to it broke, and checkInterval
	// the time between two checks.
	investigationTime = 2 * time.Second
	checkInterval     = 50 * time.Millisecond
	// maxInvestigations bounds the servers that are checked at once, and maxPrompts the prompts that wait for
	// the result of one.
	maxInvestigations = 64
	maxPrompts        = 64
)

// investigation finds out whether a server has ended.
type investigation struct {
	// prompts holds the prompts whose connections broke.
	prompts []brokenPrompt
	ended   bool
}

// brokenPrompt holds the parts of a prompt whose connection broke, and how long the answer had gone on then.
type brokenPrompt struct {
	parts   []string
	reached time.Duration
}

// Suspect notes that the connection to a server broke before it had answered a prompt with these parts in full. reached is how
// long the answer had gone on, 0 if it hadn't begun. If the server turns out to have ended, that counts against the parts.
func (q *Quarantine) Suspect(s *figcatalogue.Server, parts []string, reached time.Duration) {
	if len(parts) == 0 {
		return
	}
	lifetime := s.Lifetime()
	q.mu.Lock()
	i, known := q.investigations[lifetime]
	switch {
	case known && i.ended:
		q.mu.Unlock()
		q.update(func(now time.Time) { q.table.RecordCrash(now, s.Pool, lifetime, parts, reached) })
		return
	case known && len(i.prompts) < maxPrompts:
		i.prompts = append(i.prompts, brokenPrompt{parts, reached})
	case !known && len(q.investigations) < maxInvestigations:
		i = &investigation{prompts: []brokenPrompt{{parts, reached}}}
		q.investigations[lifetime] = i
		go q.investigate(s, i)
	}
	q.mu.Unlock()
}

// investigate checks a server until it is known to have ended or investigationTime has passed. The result
// is kept for that time, for connections whose break is noticed later.
func (q *Quarantine) investigate(s *figcatalogue.Server, i *investigation) {
	ctx, cancel := context.WithTimeout(context.Background(), investigationTime)
	defer cancel()
	lifetime := s.Lifetime()
	for ctx.Err() == nil {
		if q.opts.HasEnded(ctx, s) {
			q.recordEnd(s, i)
			break
		}
		if q.opts.Timer.Sleep(ctx, checkInterval) != nil {
			break
		}
	}
	<-ctx.Done()
	q.mu.Lock()
	delete(q.investigations, lifetime)
	q.mu.Unlock()
}

// recordEnd counts the end of a server against the prompts that it hadn't answered in full.
func (q *Quarantine) recordEnd(s *figcatalogue.Server, i *investigation) {
	q.CrashCount.Add(1)
	q.mu.Lock()
	i.ended = true
	prompts := i.prompts
	q.mu.Unlock()
	q.update(func(now time.Time) {
		for _, p := range prompts {
			q.table.RecordCrash(now, s.Pool, s.Lifetime(), p.parts, p.reached)
		}
	})
	first := prompts[0].parts
	klog.InfoS("server ended while it answered", "server", s.Name, "prompts", len(prompts),
		"firstParts", strings.Join(first[:min(len(first), maxLoggedParts)], ","), "answeredFor", prompts[0].reached)
}

// maxLoggedParts bounds the prompt parts in a log line.
const maxLoggedParts = 8
