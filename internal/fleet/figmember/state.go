package figmember

import (
	"cmp"
	"slices"
	"time"

	"figtrail.dev/figtrail/internal/fleet/figview"
)

const (
	// rowsPerMember and rowsSpare bound the rows kept: those of the listed members
	// and of some that have left the list or are not on it yet.
	rowsPerMember = 2
	rowsSpare     = 64
)

// ack is what is known of one member's latest incarnation.
type ack struct {
	incarnation uint64
	view        uint64
	// at is when its view last grew, as far as this instance was told.
	at time.Time
	// sequence orders the changes of all rows of this instance.
	sequence uint64
}

// peer is what this instance keeps of one that it exchanges beats with.
type peer struct {
	incarnation uint64
	view        uint64
	draining    bool
	// heard is when the latest answered beat was sent to it.
	heard time.Time
	// acked is our sequence that it has; seen is its sequence that we have.
	acked, seen uint64
	// failures counts unanswered beats since the last answer.
	failures int
	// spared is until when others are asked in its place.
	spared time.Time
	// busy says that a beat to it is on the way.
	busy bool
}

// state holds the decisions of membership. It has no clock and no lock.
type state struct {
	self        string
	incarnation uint64
	freshness   time.Duration

	acks     map[uint64]*ack
	sequence uint64
	newest   uint64
	// confirmed is when the service said that no list newer than the one held
	// existed, source the hash of the name of the instance that it said it to.
	confirmed time.Time
	source    uint64
	// elsewhere is when the service last said anything of the kind to another instance.
	elsewhere time.Time
	peers     map[string]*peer
	ranking   ranking
}

func newState(self string, incarnation uint64, freshness time.Duration) *state {
	return &state{
		self:        self,
		incarnation: incarnation,
		freshness:   freshness,
		acks:        map[uint64]*ack{},
		peers:       map[string]*peer{},
	}
}

func (s *state) peer(name string) *peer {
	p := s.peers[name]
	if p == nil {
		p = &peer{}
		s.peers[name] = p
	}
	return p
}

// hold notes that this instance holds a version.
func (s *state) hold(view uint64, now time.Time) {
	s.note(Row{Member: hashOf(s.self), Incarnation: s.incarnation, View: view}, now)
}

// note takes in a row. A newer incarnation replaces all that was known of the
// one before it.
func (s *state) note(r Row, now time.Time) {
	if r.Member == hashOf(s.self) && r.Incarnation > s.incarnation {
		// A predecessor ran under a later clock; outnumber it.
		s.incarnation = r.Incarnation + 1
		return
	}
	s.newest = max(s.newest, r.View)
	a := s.acks[r.Member]
	if a == nil {
		a = &ack{}
		s.acks[r.Member] = a
	}
	if r.Incarnation < a.incarnation || (r.Incarnation == a.incarnation && r.View <= a.view) {
		return
	}
	s.sequence++
	*a = ack{incarnation: r.Incarnation, view: r.View, at: now, sequence: s.sequence}
}

// confirm takes in that at a time the service knew no list newer than view. It
// bears on any list held that is as new.
func (s *state) confirm(at time.Time, view, held, source uint64) {
	if source != hashOf(s.self) && at.After(s.elsewhere) {
		s.elsewhere = at
	}
	if view <= held && at.After(s.confirmed) {
		s.confirmed, s.source = at, source
	}
}

// confirmHere takes in that the service said so to this instance.
func (s *state) confirmHere(at time.Time, held uint64) {
	s.confirm(at, held, held, hashOf(s.self))
}

// beat returns the message to a peer.
func (s *state) beat(to string, view uint64, now time.Time) *Beat {
	p := s.peer(to)
	b := &Beat{
		From:        s.self,
		Incarnation: s.incarnation,
		View:        view,
		Newest:      max(s.newest, view),
		AgeMillis:   -1,
		Source:      s.source,
		Rows:        s.rowsAfter(p.acked),
		Base:        p.acked,
		Sequence:    s.sequence,
		Seen:        p.seen,
		SeenOf:      p.incarnation,
	}
	if !s.confirmed.IsZero() {
		b.AgeMillis = now.Sub(s.confirmed).Milliseconds() + 1
	}
	return b
}

func (s *state) rowsAfter(sequence uint64) []Row {
	if sequence >= s.sequence {
		return nil
	}
	var rows []Row
	for member, a := range s.acks {
		if a.sequence > sequence {
			rows = append(rows, Row{Member: member, Incarnation: a.incarnation, View: a.view})
		}
	}
	return rows
}

// receive takes in what holds whenever it was sent. It returns false for a late
// beat of a process that is known to have a successor.
func (s *state) receive(b *Beat, now time.Time) bool {
	if a := s.acks[hashOf(b.From)]; a != nil && b.Incarnation < a.incarnation {
		// If it lives after all, the answer's rows tell it to outnumber the other.
		s.peer(b.From).acked = 0
		return false
	}
	p := s.peer(b.From)
	if b.Incarnation != p.incarnation {
		p.incarnation, p.seen, p.view = b.Incarnation, 0, 0
	}
	p.view = max(p.view, b.View)
	p.draining = b.Draining
	p.acked = 0
	if b.SeenOf == s.incarnation {
		p.acked = b.Seen
	}
	s.newest = max(s.newest, b.Newest)
	s.note(Row{Member: hashOf(b.From), Incarnation: b.Incarnation, View: b.View}, now)
	for _, r := range b.Rows {
		s.note(r, now)
	}
	if b.Base <= p.seen {
		p.seen = max(p.seen, b.Sequence)
	}
	return true
}

// answered takes in the answer to a beat that was sent at a time. Ages count from
// then: the answer may have been on the way since, but it was not made before.
func (s *state) answered(b *Beat, sent, now time.Time, held uint64) {
	if !s.receive(b, now) {
		return
	}
	p := s.peer(b.From)
	p.failures = 0
	if sent.After(p.heard) {
		p.heard = sent
	}
	if b.AgeMillis >= 0 {
		s.confirm(sent.Add(-time.Duration(b.AgeMillis)*time.Millisecond), b.View, held, b.Source)
	}
}

// fresh says whether no newer list than v can have been in force elsewhere for
// longer than the freshness bound.
func (s *state) fresh(v *figview.View, now time.Time) bool {
	if v.Version == 0 || s.newest > v.Version {
		return false
	}
	if !s.confirmed.IsZero() && now.Sub(s.confirmed) <= s.freshness {
		return true
	}
	return s.majority(v, now)
}

// majority says whether a strict majority of the listed members, this one
// counted, is heard at exactly the version held.
func (s *state) majority(v *figview.View, now time.Time) bool {
	heard := 0
	for _, m := range v.Members {
		if m.Name == s.self {
			heard++
			continue
		}
		p := s.peers[m.Name]
		if p != nil && !p.heard.IsZero() && now.Sub(p.heard) <= s.freshness && p.view == v.Version {
			heard++
		}
	}
	return 2*heard > len(v.Members)
}

// allAcked returns whether each listed member but this one has held version, and
// since when this instance has known it of all.
func (s *state) allAcked(v *figview.View, version uint64) (since time.Time, ok bool) {
	if v.Version < version || v.Version == 0 {
		return time.Time{}, false
	}
	for _, m := range v.Members {
		if m.Name == s.self {
			continue
		}
		a := s.acks[hashOf(m.Name)]
		if a == nil || a.view < version {
			return time.Time{}, false
		}
		if a.at.After(since) {
			since = a.at
		}
	}
	return since, true
}

// forget drops what is known of those that are not listed, once there are many.
// As a dropped row may be listed later, all peers are asked for theirs again.
func (s *state) forget(v *figview.View) {
	if len(s.acks) <= rowsPerMember*len(v.Members)+rowsSpare {
		return
	}
	listed := map[uint64]bool{hashOf(s.self): true}
	for _, m := range v.Members {
		listed[hashOf(m.Name)] = true
	}
	var others []uint64
	for member := range s.acks {
		if !listed[member] {
			others = append(others, member)
		}
	}
	slices.SortFunc(others, func(a, b uint64) int { return cmp.Compare(s.acks[a].sequence, s.acks[b].sequence) })
	for _, member := range others[:max(0, len(others)-rowsSpare/2)] {
		delete(s.acks, member)
	}
	for name, p := range s.peers {
		p.seen = 0
		if !listed[hashOf(name)] {
			delete(s.peers, name)
		}
	}
}
