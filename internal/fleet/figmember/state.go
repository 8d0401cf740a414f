package figmember

import (
	"cmp"
	"slices"
	"time"

	"figtrail.dev/figtrail/internal/fleet/figview"
)

const (
	// acksPerMember and rowsSpare bound the rows kept: those of the listed members
	// and of some that have left the list or are not on it yet.
	acksPerMember = 2
	extraAcks     = 64
)

// ackRecord is what is known of one member's latest incarnation.
type ackRecord struct {
	incarnation uint64
	view        uint64
	// learnedAt is when its view last grew, as far as this instance was told.
	learnedAt time.Time
	// sequence orders the changes of all rows of this instance.
	sequence uint64
}

// peer is what this instance keeps of one that it exchanges beats with.
type peer struct {
	incarnation uint64
	view        uint64
	draining    bool
	// lastAnswered is when the latest answered beat was sent to it.
	lastAnswered time.Time
	// ackedSequence is our sequence that it has; seenSequence is its sequence that we have.
	ackedSequence, seenSequence uint64
	// failures counts unanswered beats since the last answer.
	failures int
	// skippedUntil is until when others are asked in its place.
	skippedUntil time.Time
	// inFlight says that a beat to it is on the way.
	inFlight bool
}

// state holds the decisions of membership. It has no clock and no lock.
type state struct {
	self        string
	incarnation uint64
	freshness   time.Duration

	acks     map[uint64]*ackRecord
	sequence uint64
	newest   uint64
	// confirmed is when the service said that no list newer than the one held
	// existed, source the hash of the name of the instance that it said it to.
	confirmed time.Time
	source    uint64
	// confirmedElsewhere is when the service last said anything of the kind to another instance.
	confirmedElsewhere time.Time
	peers     map[string]*peer
	ranking   ranking
}

func newState(self string, incarnation uint64, freshness time.Duration) *state {
	return &state{
		self:        self,
		incarnation: incarnation,
		freshness:   freshness,
		acks:        map[uint64]*ackRecord{},
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

// recordOwnVersion notes that this instance holds a version.
func (s *state) recordOwnVersion(view uint64, now time.Time) {
	s.applyAck(ViewAck{Member: hashOf(s.self), Incarnation: s.incarnation, View: view}, now)
}

// applyAck takes in a row. A newer incarnation replaces all that was known of the
// one before it.
func (s *state) applyAck(r ViewAck, now time.Time) {
	if r.Member == hashOf(s.self) && r.Incarnation > s.incarnation {
		// A predecessor ran under a later clock; outnumber it.
		s.incarnation = r.Incarnation + 1
		return
	}
	s.newest = max(s.newest, r.View)
	a := s.acks[r.Member]
	if a == nil {
		a = &ackRecord{}
		s.acks[r.Member] = a
	}
	if r.Incarnation < a.incarnation || (r.Incarnation == a.incarnation && r.View <= a.view) {
		return
	}
	s.sequence++
	*a = ackRecord{incarnation: r.Incarnation, view: r.View, learnedAt: now, sequence: s.sequence}
}

// recordConfirmation takes in that at a time the service knew no list newer than view. It
// bears on any list held that is as new.
func (s *state) recordConfirmation(at time.Time, view, held, source uint64) {
	if source != hashOf(s.self) && at.After(s.confirmedElsewhere) {
		s.confirmedElsewhere = at
	}
	if view <= held && at.After(s.confirmed) {
		s.confirmed, s.source = at, source
	}
}

// recordOwnConfirmation takes in that the service said so to this instance.
func (s *state) recordOwnConfirmation(at time.Time, held uint64) {
	s.recordConfirmation(at, held, held, hashOf(s.self))
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
		Acks:        s.acksAfter(p.ackedSequence),
		SinceSequence:        p.ackedSequence,
		Sequence:    s.sequence,
		Seen:        p.seenSequence,
		SeenIncarnation:      p.incarnation,
	}
	if !s.confirmed.IsZero() {
		b.AgeMillis = now.Sub(s.confirmed).Milliseconds() + 1
	}
	return b
}

func (s *state) acksAfter(sequence uint64) []ViewAck {
	if sequence >= s.sequence {
		return nil
	}
	var rows []ViewAck
	for member, a := range s.acks {
		if a.sequence > sequence {
			rows = append(rows, ViewAck{Member: member, Incarnation: a.incarnation, View: a.view})
		}
	}
	return rows
}

// receive takes in what holds whenever it was sent. It returns false for a late
// beat of a process that is known to have a successor.
func (s *state) receive(b *Beat, now time.Time) bool {
	if a := s.acks[hashOf(b.From)]; a != nil && b.Incarnation < a.incarnation {
		// If it lives after all, the answer's rows tell it to outnumber the other.
		s.peer(b.From).ackedSequence = 0
		return false
	}
	p := s.peer(b.From)
	if b.Incarnation != p.incarnation {
		p.incarnation, p.seenSequence, p.view = b.Incarnation, 0, 0
	}
	p.view = max(p.view, b.View)
	p.draining = b.Draining
	p.ackedSequence = 0
	if b.SeenIncarnation == s.incarnation {
		p.ackedSequence = b.Seen
	}
	s.newest = max(s.newest, b.Newest)
	s.applyAck(ViewAck{Member: hashOf(b.From), Incarnation: b.Incarnation, View: b.View}, now)
	for _, r := range b.Acks {
		s.applyAck(r, now)
	}
	if b.SinceSequence <= p.seenSequence {
		p.seenSequence = max(p.seenSequence, b.Sequence)
	}
	return true
}

// receiveAnswer takes in the answer to a beat that was sent at a time. Ages count from
// then: the answer may have been on the way since, but it was not made before.
func (s *state) receiveAnswer(b *Beat, sent, now time.Time, held uint64) {
	if !s.receive(b, now) {
		return
	}
	p := s.peer(b.From)
	p.failures = 0
	if sent.After(p.lastAnswered) {
		p.lastAnswered = sent
	}
	if b.AgeMillis >= 0 {
		s.recordConfirmation(sent.Add(-time.Duration(b.AgeMillis)*time.Millisecond), b.View, held, b.Source)
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
	return s.majorityHeard(v, now)
}

// majorityHeard says whether a strict majorityHeard of the listed members, this one
// counted, is heard at exactly the version held.
func (s *state) majorityHeard(v *figview.View, now time.Time) bool {
	heard := 0
	for _, m := range v.Members {
		if m.Name == s.self {
			heard++
			continue
		}
		p := s.peers[m.Name]
		if p != nil && !p.lastAnswered.IsZero() && now.Sub(p.lastAnswered) <= s.freshness && p.view == v.Version {
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
		if a.learnedAt.After(since) {
			since = a.learnedAt
		}
	}
	return since, true
}

// pruneUnlisted drops what is known of those that are not listed, once there are many.
// As a dropped row may be listed later, all peers are asked for theirs again.
func (s *state) pruneUnlisted(v *figview.View) {
	if len(s.acks) <= acksPerMember*len(v.Members)+extraAcks {
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
	for _, member := range others[:max(0, len(others)-extraAcks/2)] {
		delete(s.acks, member)
	}
	for name, p := range s.peers {
		p.seenSequence = 0
		if !listed[hashOf(name)] {
			delete(s.peers, name)
		}
	}
}
