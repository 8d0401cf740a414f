package figmember

import (
	"cmp"
	"slices"
	"time"

	"figtrail.dev/figtrail/internal/fleet/figview"
)

const (
	// acksPerMember and extraAcks bound the stored acknowledgements: those of the listed members and
	// of some instances that have left the list or are not on it yet.
	acksPerMember = 2
	extraAcks     = 64
)

// ackRecord is the newest list version that the latest known incarnation of a member has
// acknowledged.
type ackRecord struct {
	incarnation uint64
	view        uint64
	// learnedAt is when this instance learned of the view; a new incarnation resets it.
	learnedAt time.Time
	// sequence is this instance's change counter at the record's last change.
	sequence uint64
}

// peer is the state of the heartbeat exchange with one other instance.
type peer struct {
	incarnation uint64
	view        uint64
	draining    bool
	// lastAnswered is the send time of the latest heartbeat that the peer answered.
	lastAnswered time.Time
	// ackedSequence is the sequence up to which the peer has this instance's acknowledgements,
	// seenSequence the peer's sequence up to which this instance has the peer's.
	ackedSequence, seenSequence uint64
	// failures counts consecutive unanswered heartbeats.
	failures int
	// skippedUntil is the time until which lower-ranked peers replace this one.
	skippedUntil time.Time
	// inFlight is true while a heartbeat to the peer waits for its answer.
	inFlight bool
}

// state holds the membership protocol without clock, lock or input and output, so that tests can
// drive it; Membership adds them.
type state struct {
	self        string
	incarnation uint64
	freshness   time.Duration

	// acks holds the acknowledgements by the hash of the member's name.
	acks map[uint64]*ackRecord
	// sequence counts the changes of acks.
	sequence uint64
	// newest is the highest version of the list known to exist.
	newest uint64
	// confirmed is the latest known time at which the configuration service had no list newer than the
	// one held here, source the hash of the name of the instance to which the service said so.
	confirmed time.Time
	source    uint64
	// confirmedElsewhere is the latest known time at which the service confirmed any list to another
	// instance.
	confirmedElsewhere time.Time
	peers              map[string]*peer
	ranking            ranking
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

// recordOwnVersion records that this instance holds a version of the list.
func (s *state) recordOwnVersion(view uint64, now time.Time) {
	s.applyAck(ViewAck{Member: hashOf(s.self), Incarnation: s.incarnation, View: view}, now)
}

// applyAck merges an acknowledgement. A newer incarnation replaces the record of an older one;
// within an incarnation only a higher version counts.
func (s *state) applyAck(r ViewAck, now time.Time) {
	if r.Member == hashOf(s.self) && r.Incarnation > s.incarnation {
		// An earlier process of this instance started at a later clock reading, so this process must take
		// a higher incarnation to be accepted by peers.
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

// recordConfirmation records that at the given time the service had no list newer than view, as
// reported to the instance with the name hash source. That confirms the held list too if it is at
// least as new as view.
func (s *state) recordConfirmation(at time.Time, view, held, source uint64) {
	if source != hashOf(s.self) && at.After(s.confirmedElsewhere) {
		s.confirmedElsewhere = at
	}
	if view <= held && at.After(s.confirmed) {
		s.confirmed, s.source = at, source
	}
}

// recordOwnConfirmation records that the service confirmed the held list to this instance.
func (s *state) recordOwnConfirmation(at time.Time, held uint64) {
	s.recordConfirmation(at, held, held, hashOf(s.self))
}

// heartbeat returns a heartbeat for the named peer, with the acknowledgements that the peer lacks.
func (s *state) heartbeat(to string, view uint64, now time.Time) *Heartbeat {
	p := s.peer(to)
	b := &Heartbeat{
		From:            s.self,
		Incarnation:     s.incarnation,
		View:            view,
		Newest:          max(s.newest, view),
		AgeMillis:       -1,
		Source:          s.source,
		Acks:            s.acksAfter(p.ackedSequence),
		SinceSequence:   p.ackedSequence,
		Sequence:        s.sequence,
		Seen:            p.seenSequence,
		SeenIncarnation: p.incarnation,
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

// receive merges the parts of a heartbeat that are valid regardless of its age. It returns false
// and merges nothing for a delayed heartbeat of a process that is known to have a successor.
func (s *state) receive(b *Heartbeat, now time.Time) bool {
	if a := s.acks[hashOf(b.From)]; a != nil && b.Incarnation < a.incarnation {
		// If that process is still running, the full set of acknowledgements in the answer makes it take a
		// higher incarnation than its successor's.
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

// receiveAnswer merges the answer to a heartbeat that was sent at the given time. Ages in the
// answer are counted from the send time, because the answer was created no earlier than that but
// may have been delayed afterwards.
func (s *state) receiveAnswer(b *Heartbeat, sent, now time.Time, held uint64) {
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

// fresh reports whether no list newer than v can have been in use at other instances for longer
// than the freshness bound.
func (s *state) fresh(v *figview.View, now time.Time) bool {
	if v.Version == 0 || s.newest > v.Version {
		return false
	}
	if !s.confirmed.IsZero() && now.Sub(s.confirmed) <= s.freshness {
		return true
	}
	return s.majorityHeard(v, now)
}

// majorityHeard reports whether a strict majority of the listed members, including this one, holds
// exactly version v and has answered a heartbeat sent within the freshness bound.
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

// allAcked reports whether each other listed member is known to have held version, and when this
// instance learned it of the last of them.
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

// pruneUnlisted removes acknowledgements and peers of instances that are not listed, once too many
// acknowledgements are stored. As a removed instance may be listed later, it requests all
// acknowledgements from the peers again.
func (s *state) pruneUnlisted(v *figview.View) {
	if len(s.acks) <= acksPerMember*len(v.Members)+extraAcks {
		return
	}
	listed := map[uint64]bool{hashOf(s.self): true}
	for _, m := range v.Members {
		listed[hashOf(m.Name)] = true
	}
	var unlisted []uint64
	for member := range s.acks {
		if !listed[member] {
			unlisted = append(unlisted, member)
		}
	}
	slices.SortFunc(unlisted, func(a, b uint64) int { return cmp.Compare(s.acks[a].sequence, s.acks[b].sequence) })
	for _, member := range unlisted[:max(0, len(unlisted)-extraAcks/2)] {
		delete(s.acks, member)
	}
	for name, p := range s.peers {
		p.seenSequence = 0
		if !listed[hashOf(name)] {
			delete(s.peers, name)
		}
	}
}
