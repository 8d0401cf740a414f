package figdiscovery

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"figtrail.dev/figtrail/internal/core/figtimer"
	"figtrail.dev/figtrail/internal/fleet/figview"
)

const (
	// syncDelay is how long the lists of others must have differed from this one before it is
	// synchronized, and the least time between two synchronizations. News in transit explains shorter
	// differences. A starting instance synchronizes at once.
	syncDelay = 1500 * time.Millisecond
	// pushDelay batches changes that happen shortly after each other into one push.
	pushDelay = 60 * time.Millisecond
	// pushTargets is the number of members that a change is pushed to. Each member pushes a change on
	// once, so that four reach nearly all and probes the rest.
	pushTargets = 4
)

// sync requests the records that this instance lacks from a member or seed.
func (d *Discovery) sync(ctx context.Context, to figview.Member) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	d.Syncs.Add(1)
	answer, err := d.opts.Sync(ctx, to, d.syncRequest())
	if err != nil {
		d.FailedCalls.Add(1)
		klog.V(1).InfoS("failed to synchronize the list of members", "with", to.Name, "err", err)
		return
	}
	d.merge(d.opts.Clock.Now(), answer.Records, false)
}

// syncRequest returns a request for the records that differ from this instance's.
func (d *Discovery) syncRequest() *SyncRequest {
	d.mu.Lock()
	defer d.mu.Unlock()
	q := &SyncRequest{From: d.self, Hashes: make([]uint64, 0, len(d.members)+1)}
	q.Hashes = append(q.Hashes, d.self.hash())
	for _, m := range d.members {
		q.Hashes = append(q.Hashes, m.hash())
	}
	return q
}

// HandleSync answers with the records that the sender lacks, and adds the sender, which may have
// just started, to the list.
func (d *Discovery) HandleSync(_ context.Context, q *SyncRequest) (*SyncAnswer, error) {
	held := make(map[uint64]bool, len(q.Hashes))
	for _, h := range q.Hashes {
		held[h] = true
	}
	d.merge(d.opts.Clock.Now(), []Record{q.From}, true)
	d.mu.Lock()
	defer d.mu.Unlock()
	answer := &SyncAnswer{}
	if !held[d.self.hash()] {
		answer.Records = append(answer.Records, d.self)
	}
	for _, m := range d.members {
		if !held[m.hash()] {
			answer.Records = append(answer.Records, m.Record)
		}
	}
	return answer, nil
}

// RunPushes sends changes of the list to pushTargets members until ctx ends. It returns nil.
func (d *Discovery) RunPushes(ctx context.Context, t *figtimer.Timer) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.pending:
		}
		if t.Sleep(ctx, pushDelay) != nil {
			return nil
		}
		d.pushUrgent(ctx)
	}
}

// pushUrgent pushes the changes that have accumulated.
func (d *Discovery) pushUrgent(ctx context.Context) {
	m := d.urgentMessage()
	for _, to := range d.someAlive(pushTargets, "") {
		go func() {
			limited, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			answer, err := d.opts.Push(limited, to, m)
			if err != nil {
				d.FailedCalls.Add(1)
				klog.V(1).InfoS("failed to push changes of the list of members", "to", to.Name, "err", err)
				return
			}
			d.receive(answer)
		}()
	}
}

// urgentMessage returns a message with the records to push, and clears these. Pushes and the answers to
// them leave the news to probes: those who push know most of it, so that they would use it up.
func (d *Discovery) urgentMessage() *Message {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := d.messageLocked()
	for name := range d.urgent {
		if r, ok := d.recordLocked(name); ok {
			m.News = append(m.News, r)
		}
	}
	clear(d.urgent)
	return m
}

// HandlePush applies the changes that another instance pushes.
func (d *Discovery) HandlePush(_ context.Context, m *Message) (*Message, error) {
	d.receive(m)
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.messageLocked(), nil
}
