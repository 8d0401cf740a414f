package figcoordinator

import "slices"

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
