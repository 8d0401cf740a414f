package figcoordinator

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"figtrail.dev/figtrail/internal/fleet/figview"
	"figtrail.dev/figtrail/internal/place/figbalancer"
)

// maxWithdrawn bounds the servers excluded from one request because they take no requests now.
const maxWithdrawn = 32

// excludeWithdrawn returns the request without the servers that have told this instance that they take no
// requests now, which a coordinator need not know.
func (p *Placer) excludeWithdrawn(q *Request) *Request {
	withdrawn := p.Fallback.WithdrawnServers(p.Clock.Now(), p.View(), q.Pool, maxWithdrawn)
	if len(withdrawn) == 0 {
		return q
	}
	limited := *q
	limited.Excluded = slices.Concat(q.Excluded, withdrawn)
	return &limited
}

// awaitPause waits for the end of a pause because of which no server was found for the request, as err says. It returns
// false at once if there is none or it lasts beyond the deadline; err then names the end.
func (p *Placer) awaitPause(ctx context.Context, q *Request, deadline time.Time, err error) bool {
	var none *figbalancer.NoServerError
	if !errors.As(err, &none) || none.NoCapacity {
		return false
	}
	now := p.Clock.Now()
	left, _ := p.pauseLeft(now, q, q.Excluded)
	if left > 0 && !now.Add(left).After(deadline) {
		return p.Timer.Sleep(ctx, left) == nil
	}
	// Another request may use the servers that this one has excluded.
	left, only := p.pauseLeft(now, q, nil)
	if left > 0 && (none.RetryAfter == 0 && only || left < none.RetryAfter) {
		none.RetryAfter = left
	}
	return false
}

// pauseLeft returns when a pause of a server for the request ends; see PauseLeft of figbalancer.
func (p *Placer) pauseLeft(now time.Time, q *Request, excluded []string) (left time.Duration, only bool) {
	return p.Fallback.PauseLeft(now, p.View(), q.Pool, excluded, figview.Decode, figview.Plain)
}
