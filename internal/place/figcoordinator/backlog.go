package figcoordinator

import (
	"time"

	"k8s.io/klog/v2"

	"figtrail.dev/figtrail/internal/limit/figqueue"
)

// backlogLogInterval is the time between two log lines on calls that were refused at arrival.
const backlogLogInterval = time.Second

// queueDeadline returns the deadline for placing a request that may wait until deadline: it has passed if the calls that
// are placed before it take longer than the request may wait. The queue then refuses the request at once. Model requests
// are left to the queue's own estimate, and retries go before others.
func (c *Coordinator) queueDeadline(q *Request, answer *Answer, deadline time.Time) time.Time {
	if q.Tokens > 0 || q.PromptTokens > 0 || q.Priority > 0 {
		return deadline
	}
	now, v := c.Clock.Now(), c.View()
	if v.Table == nil {
		return deadline
	}
	waiting := c.queues.ForPool(q.Pool).Ahead(figqueue.Item{
		Account: q.Account, Priority: q.Priority,
		Importance: q.Importance, AccountImportance: q.AccountImportance, RouteImportance: q.RouteImportance,
	})
	if waiting == 0 {
		return deadline
	}
	backlog := c.picker.CallBacklog(now, c.query(v, q, q.DataCentre, 0), waiting)
	if backlog <= deadline.Sub(now) {
		return deadline
	}
	answer.RetryAfter = backlog
	count := c.BacklogCount.Add(1)
	if last := c.backlogLoggedAt.Load(); now.UnixNano()-last >= int64(backlogLogInterval) && c.backlogLoggedAt.CompareAndSwap(last, now.UnixNano()) {
		klog.InfoS("calls are refused at arrival", "pool", q.Pool, "waiting", waiting, "backlog", backlog,
			"wait", deadline.Sub(now), "count", count)
	}
	return now
}
