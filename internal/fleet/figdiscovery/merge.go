package figdiscovery

import (
	"math/bits"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"figtrail.dev/figtrail/internal/fleet/figview"
)

// newsFactor times the logarithm of the number of members is the number of messages that carry a
// changed record, so that it reaches all members with high probability.
const newsFactor = 2

// changed records that the list has changed. d.mu must be held.
func (d *Discovery) changed() {
	d.presentMembers = nil
	d.epoch.Add(1)
}

// announceLocked queues the record of a member for the next messages and for a push. d.mu must be
// held.
func (d *Discovery) announceLocked(name string) {
	d.news[name] = newsFactor * bits.Len(uint(len(d.members)+1))
	d.urgent[name] = true
	select {
	case d.pending <- struct{}{}:
	default:
	}
}

// gone is a run of a member that has ended.
type gone struct {
	name        string
	incarnation uint64
}

// merge applies received records and then calls OnGone for the runs that have ended. push says that
// the changes are pushed on; those of a whole list are known to others already.
func (d *Discovery) merge(now time.Time, all []Record, push bool) {
	d.mu.Lock()
	var ended []gone
	before := d.epoch.Load()
	for i := range all {
		ended = d.mergeOne(now, &all[i], push, ended)
	}
	if d.epoch.Load() != before {
		most, present := d.countMembers(now)
		klog.V(1).InfoS("members changed", "records", len(all), "present", present, "recentMaximum", most)
	}
	d.mu.Unlock()
	for _, g := range ended {
		d.opts.OnGone(g.name, g.incarnation)
	}
}

// mergeOne applies one record, and appends to ended if that ends a run of the member. d.mu must be
// held.
func (d *Discovery) mergeOne(now time.Time, r *Record, push bool, ended []gone) []gone {
	if r.Name == "" || r.Address == "" || r.State > Dead {
		return ended
	}
	if r.Name == d.self.Name {
		d.refute(r)
		return ended
	}
	old, known := d.members[r.Name]
	if !known && r.State == Dead {
		return ended
	}
	if known && old.present() && r.State == Dead && r.Incarnation == old.Incarnation {
		// Each instance declares a member dead itself, so that one that was cut off and takes many
		// members for dead doesn't remove them from the lists of others before they refute that.
		suspected := *r
		suspected.State = Suspect
		r = &suspected
	}
	if known && !r.replaces(&old.Record) {
		return ended
	}
	return d.apply(now, r, push, ended)
}

// apply replaces the record of a member. d.mu must be held.
func (d *Discovery) apply(now time.Time, r *Record, push bool, ended []gone) []gone {
	old, known := d.members[r.Name]
	m := &memberRecord{Record: *r, changedAt: now}
	if known {
		m.heardAt = old.heardAt
		if old.State != Dead {
			d.digest -= old.hash()
		}
		if old.State != Dead && (r.State == Dead || r.Incarnation != old.Incarnation) {
			ended = append(ended, gone{old.Name, old.Incarnation})
		}
	}
	if r.State != Dead {
		d.digest += r.hash()
	}
	d.members[r.Name] = m
	d.changed()
	if push {
		d.announceLocked(r.Name)
	}
	if !known || old.State != r.State || old.Incarnation != r.Incarnation {
		klog.V(1).InfoS("member changed", "member", r.Name, "address", r.Address, "state", r.State.String(),
			"incarnation", r.Incarnation, "version", r.Version, "known", known)
	}
	return ended
}

// refute handles a record of this instance that another one holds. If it is newer than the own one
// or calls this instance suspect or dead, the own record is raised above it. d.mu must be held.
func (d *Discovery) refute(r *Record) {
	if !r.replaces(&d.self) {
		return
	}
	klog.InfoS("refuting a record of this instance", "state", r.State.String(), "incarnation", r.Incarnation,
		"version", r.Version, "own", d.self.Incarnation)
	if r.Incarnation > d.self.Incarnation {
		d.self.Incarnation = r.Incarnation + 1
		d.self.Version = 0
	} else {
		d.self.Version = r.Version + 1
	}
	d.changed()
	d.announceLocked(d.self.Name)
}

// removeExpired deletes the members that have been dead or leaving for removeAfter. d.mu must be
// held.
func (d *Discovery) removeExpired(now time.Time) {
	for name, m := range d.members {
		if m.present() || now.Sub(m.changedAt) < removeAfter {
			continue
		}
		if m.State != Dead {
			d.digest -= m.hash()
		}
		delete(d.members, name)
		d.changed()
	}
}

// newMessage returns a message with this instance's record, the digest and the news that is due.
func (d *Discovery) newMessage() *Message {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := d.messageLocked()
	for name, left := range d.news {
		if len(m.News) == maxNews {
			break
		}
		if r, ok := d.recordLocked(name); ok && name != d.self.Name {
			m.News = append(m.News, r)
		}
		if left <= 1 {
			delete(d.news, name)
			continue
		}
		d.news[name] = left - 1
	}
	return m
}

// messageLocked returns a message without news. d.mu must be held.
func (d *Discovery) messageLocked() *Message {
	position := d.opts.Position()
	return &Message{
		From: d.self, Digest: d.digest + d.self.hash(), Members: len(d.members) + 1,
		Epoch: position.Epoch, Revision: position.Revision,
		Evidence: d.opts.Evidence(),
	}
}

// recordLocked returns the record of a member or of this instance. d.mu must be held.
func (d *Discovery) recordLocked(name string) (Record, bool) {
	if name == d.self.Name {
		return d.self, true
	}
	m, ok := d.members[name]
	if !ok {
		return Record{}, false
	}
	return m.Record, true
}

// receive applies a message of another instance. It ignores messages without a sender, and this
// instance's own.
func (d *Discovery) receive(m *Message) {
	if m.From.Name == "" || m.From.Name == d.opts.Self.Name {
		return
	}
	now := d.opts.Clock.Now()
	d.merge(now, slices.Concat(m.News, []Record{m.From}), true)
	d.opts.OnPosition(m.From.Target(), figview.Position{Epoch: m.Epoch, Revision: m.Revision})
	d.opts.OnEvidence(m.From.Target(), m.Evidence)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.met = true
	if sender, ok := d.members[m.From.Name]; ok {
		sender.heardAt = now
		if sender.replaces(&m.From) {
			// The sender was suspected, or has restarted with an older clock; the next message tells it.
			d.news[m.From.Name] = max(1, d.news[m.From.Name])
		}
	}
	switch {
	case m.Digest == d.digest+d.self.hash():
		if !d.settled && now.Sub(d.startedAt) >= Interval {
			d.settle(now)
		}
		d.differsSince = time.Time{}
	case d.differsSince.IsZero():
		d.differsSince = now
	}
}

// settle takes the list for complete, and the number of its members for the recent maximum instead of
// the assumed one. d.mu must be held.
func (d *Discovery) settle(now time.Time) {
	d.settled = true
	d.maxMembers = 0
	d.countMembers(now)
}

// wantsSync reports whether the list is to be synchronized with that of the sender of m, because it
// has differed from those of others for some time, or lacks members.
func (d *Discovery) wantsSync(m *Message) bool {
	now := d.opts.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	delay := syncDelay
	switch {
	case d.differsSince.IsZero() || m.Digest == d.digest+d.self.hash():
		return false
	case !d.settledAt(now):
		delay = 0
	case m.Members > len(d.members)+1:
		delay = Interval
	}
	if now.Sub(d.differsSince) < delay {
		return false
	}
	d.differsSince = now
	return true
}
