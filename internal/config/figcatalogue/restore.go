package figcatalogue

import (
	"time"

	"k8s.io/klog/v2"

	"figtrail.dev/figtrail/internal/fleet/figview"
)

const (
	// restoredGrace is how long servers and drained data centres that a restored source lacks stay in use.
	// Their writers write them again within about 2 s of its return.
	restoredGrace = 3 * time.Second
	// departedDoubt is how long a server gets no work that had been removed before the source was restored, and that the
	// restored source lists. Entries that nobody renews expire sooner.
	departedDoubt = 4 * time.Second
	// departedMemory is how long removed servers are remembered.
	departedMemory = time.Minute
)

// restoration holds what this instance knows better than a source that was restored from an older copy.
type restoration struct {
	// servers and dataCentres hold until when entries that the source lacks stay in use, by name.
	servers, dataCentres map[string]time.Time
	// doubted holds until when listed servers get no work, by name.
	doubted map[string]time.Time
	// leaving holds the lifetimes of servers that this instance or another one knew to be leaving before the source was
	// restored. They stay leaving until they are written again.
	leaving map[string]bool
	// departed holds the removed servers, by name.
	departed map[string]departure
}

// departure is the removal of a server.
type departure struct {
	at time.Time
	// epoch is that of the removal, doubtedEpoch the latest one for which the server was doubted here because the source listed
	// it again.
	epoch, doubtedEpoch uint64
	// latest is the start of the latest process that was removed, announced that of the latest one that was leaving before.
	latest, announced time.Time
}

func newRestoration() restoration {
	return restoration{
		servers: map[string]time.Time{}, dataCentres: map[string]time.Time{}, doubted: map[string]time.Time{},
		leaving: map[string]bool{}, departed: map[string]departure{},
	}
}

// recordDeparture records that s was removed at now.
func (r *restoration) recordDeparture(s *Server, epoch uint64, now time.Time) {
	delete(r.leaving, s.Lifetime())
	d := r.departed[s.Name]
	d.at, d.epoch = now, epoch
	if d.latest.Before(s.StartedAt) {
		d.latest = s.StartedAt
	}
	if s.State == figview.Leaving && d.announced.Before(s.StartedAt) {
		d.announced = s.StartedAt
	}
	r.departed[s.Name] = d
	for name, d := range r.departed {
		if now.Sub(d.at) > departedMemory && !r.isDoubted(name) {
			delete(r.departed, name)
		}
	}
}

// departures returns the wire form of the departures.
func (r *restoration) departures(now time.Time) []Departure {
	all := make([]Departure, 0, len(r.departed))
	for name, d := range r.departed {
		all = append(all, Departure{
			Name: name, LatestMillis: d.latest.UnixMilli(), AnnouncedMillis: d.announced.UnixMilli(), Epoch: d.epoch, Age: now.Sub(d.at),
		})
	}
	return all
}

// learn adds departures that another instance knows.
func (r *restoration) learn(all []Departure, now time.Time) {
	for _, n := range all {
		d, known := r.departed[n.Name]
		if at := now.Add(-n.Age); !known || d.at.Before(at) {
			d.at = at
		}
		d.epoch = max(d.epoch, n.Epoch)
		if latest := time.UnixMilli(n.LatestMillis); d.latest.Before(latest) {
			d.latest = latest
		}
		if announced := time.UnixMilli(n.AnnouncedMillis); d.announced.Before(announced) {
			d.announced = announced
		}
		r.departed[n.Name] = d
	}
}

// hasDeparted says whether the process of s, or one that started later, was removed.
func (r *restoration) hasDeparted(s *Server) bool {
	d, departed := r.departed[s.Name]
	return departed && !s.StartedAt.After(d.latest)
}

// hasLeft says whether the process of s is known to have been leaving before it was removed. A restarted server without a
// start time can't be told from the process before.
func (r *restoration) hasLeft(s *Server) bool {
	return !s.StartedAt.IsZero() && r.departed[s.Name].announced.Equal(s.StartedAt)
}

// trust forgets that the process of s was removed, unless it had been leaving before.
func (r *restoration) trust(s *Server) {
	if r.hasDeparted(s) && !r.hasLeft(s) {
		delete(r.departed, s.Name)
	}
}

// remainsLeaving says whether s, which is listed as live, is the process that was leaving as old.
func remainsLeaving(old, s *Server) bool {
	return !s.StartedAt.IsZero() && old.State == figview.Leaving && old.Lifetime() == s.Lifetime()
}

// keepAllLeaving records the known servers that are leaving as the source is restored.
func (r *restoration) keepAllLeaving(known map[string]Server) {
	for _, s := range known {
		if s.State == figview.Leaving {
			r.leaving[s.Lifetime()] = true
		}
	}
}

// keepLeaving makes s, which is listed as live, leaving if its process was so among the known servers before the source was
// restored.
func (r *restoration) keepLeaving(known map[string]Server, s *Server) {
	old, ok := known[s.Name]
	if s.State == figview.Live && ok && remainsLeaving(&old, s) && r.leaving[s.Lifetime()] {
		s.State = figview.Leaving
	}
}

// listed records that a source lists s in an epoch.
func (r *restoration) listed(s *Server, epoch uint64, now time.Time) {
	delete(r.servers, s.Name)
	d := r.departed[s.Name]
	switch {
	case !r.hasDeparted(s):
		delete(r.doubted, s.Name)
	case d.epoch != 0 && max(d.epoch, d.doubtedEpoch) < epoch, s.StartedAt.Before(d.latest) && !r.isDoubted(s.Name):
		d.doubtedEpoch = epoch
		r.departed[s.Name] = d
		r.doubted[s.Name] = now.Add(departedDoubt)
		klog.InfoS("server entry doubted", "server", s.Name, "startedAt", s.StartedAt, "reason", "removed before the restoration")
	case !r.isDoubted(s.Name):
		r.trust(s)
	}
}

// listedDoubted records that another instance gives no work to s, which a restored source lists, until a time.
func (r *restoration) listedDoubted(s *Server, epoch uint64, until, now time.Time) {
	if !r.hasDeparted(s) {
		r.recordDeparture(s, epoch, now)
	}
	d := r.departed[s.Name]
	d.doubtedEpoch = epoch
	r.departed[s.Name] = d
	r.doubted[s.Name] = until
}

// written records that s was written after the source's contents were read.
func (r *restoration) written(s *Server) {
	delete(r.leaving, s.Lifetime())
	delete(r.servers, s.Name)
	delete(r.doubted, s.Name)
	r.trust(s)
}

// isDoubted says whether a server gets no work though it is listed.
func (r *restoration) isDoubted(name string) bool {
	_, doubted := r.doubted[name]
	return doubted
}

// next returns the earliest time at which something ends to be kept; zero if nothing is.
func (r *restoration) next() time.Time {
	var first time.Time
	for _, all := range []map[string]time.Time{r.servers, r.dataCentres, r.doubted} {
		for _, until := range all {
			if first.IsZero() || until.Before(first) {
				first = until
			}
		}
	}
	return first
}

// expireKept removes what a restored source still lacks, and trusts what it still lists, once the source was heard after the
// time for that. c.mu must be held.
func (c *Catalogue) expireKept() {
	for name, until := range c.kept.servers {
		if !c.heardAt.Before(until) {
			delete(c.kept.servers, name)
			c.markServerRemoved(name, until)
		}
	}
	for name, until := range c.kept.dataCentres {
		if !c.heardAt.Before(until) {
			delete(c.kept.dataCentres, name)
			c.setDrained(name, false)
		}
	}
	for name, until := range c.kept.doubted {
		if !c.heardAt.Before(until) {
			delete(c.kept.doubted, name)
			if s, ok := c.servers[name]; ok {
				c.kept.trust(&s)
			}
		}
	}
}

// maxWait returns limit, or less if something ends to be kept sooner.
func (c *Catalogue) maxWait(limit time.Duration) time.Duration {
	now := c.opts.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	next := c.kept.next()
	if next.IsZero() {
		return limit
	}
	return min(limit, max(next.Sub(now), batchDelay))
}
