package figbudget

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"figtrail.dev/figtrail/internal/fleet/figview"
)

// move is a slot that the list moves from one ledger to another at now.
type move struct {
	from, to *ledger
	id       slotID
	now      time.Time
	share    Limits
}

func yes(uint64) bool { return true }

// at returns a clock that stands still.
func at(t time.Time) func() time.Time { return func() time.Time { return t } }

// newMove returns a slot that was active and full at from until now. The list
// that moves it is known to both; to hasn't had its acknowledgements yet.
func newMove() *move {
	limits := Limits{TokensPerSecond: 300, Burst: 900}
	declared := func(string) (Limits, bool) { return limits, true }
	m := &move{from: newLedger("a", 1, declared), to: newLedger("b", 1, declared)}
	members := []figview.Member{{Name: "a", DataCentre: "x"}, {Name: "b", DataCentre: "x"}}
	before, after := figview.NewView(1, members[:1]), figview.NewView(2, members)
	for i := 0; !newPlacement(after).holds("b", m.id); i++ {
		m.id = slotID{account: fmt.Sprint("account", i)}
	}
	m.share = limits.share(m.id.index)
	m.now = time.Unix(1000, 0)
	m.from.sync(before, m.now, true)
	m.from.poll(at(m.now), yes)
	m.now = m.now.Add(time.Minute)
	m.from.sync(after, m.now, true)
	m.to.sync(after, m.now, true)
	return m
}

func (m *move) pull() Give {
	return m.from.give(Pull{Account: m.id.account, Slot: m.id.index, Version: 2}, "b", m.now)
}

// taken returns the slot at its new holder, which has it by hand-over.
func (m *move) taken(t *testing.T, g Give) *slot {
	t.Helper()
	s := m.to.held(m.id, m.now)
	p := pull{slotID: m.id, gained: s.gained, asked: m.now}
	require.True(t, m.to.accept(p, g, m.now))
	return s
}

func TestAGainedSlotStartsEmptyAndLate(t *testing.T) {
	m := newMove()
	require.Zero(t, m.to.spendable(m.id, m.now.Add(time.Hour), true), "not acknowledged")
	m.to.poll(at(m.now), yes)
	require.Zero(t, m.to.spendable(m.id, m.now.Add(regeneration-1), true))
	require.Zero(t, m.to.spendable(m.id, m.now.Add(regeneration), true))
	later := m.now.Add(regeneration + 500*time.Millisecond)
	require.InDelta(t, m.share.TokensPerSecond/2, m.to.spendable(m.id, later, true), 2)
	require.Zero(t, m.to.spendable(m.id, later, false), "not fresh")
	require.Equal(t, NotReady, m.to.grant(Ask{Account: m.id.account, Need: 1}, later, false).Status)
	other := newMove()
	other.to.poll(at(other.now), yes)
	require.InDelta(t, m.share.TokensPerSecond/2, other.to.spendable(m.id, later, true), 2, "never asked before")
}

func TestALostSlotIsSpentNoMoreAndGivenOnce(t *testing.T) {
	m := newMove()
	require.Zero(t, m.from.spendable(m.id, m.now, true))
	g := m.pull()
	require.Equal(t, Give{Given: true, Balance: m.share.Burst}, g)
	require.False(t, m.pull().Given)
	s := m.taken(t, g)
	require.Equal(t, m.share.Burst, s.balance.tokens())
}

func TestASlotThatWasSpentFromIsGivenAsItStands(t *testing.T) {
	m := newMove()
	earlier := m.now.Add(-time.Second)
	m.from = newMove().from
	m.from.epochs = m.from.epochs[:1]
	require.Equal(t, m.share.Burst, m.from.grant(Ask{Account: m.id.account, Need: 900}, earlier, true).Tokens)
	m.from.sync(m.to.current().view, m.now, true)
	g := m.pull()
	require.True(t, g.Given)
	require.Zero(t, g.Balance)
	require.Equal(t, m.share.Burst, g.Outstanding)
	s := m.taken(t, g)
	s.refresh(m.share, m.now.Add(leaseHeld-time.Millisecond))
	require.Zero(t, s.balance.tokens(), "leases of the former holder take the room")
	s.refresh(m.share, m.now.Add(leaseHeld+time.Second))
	require.InDelta(t, m.share.TokensPerSecond, s.balance.tokens(), 2)
}

func TestNoGiveAfterItsTime(t *testing.T) {
	m := newMove()
	m.now = m.now.Add(giveLife)
	require.False(t, m.pull().Given, "idle")

	m = newMove()
	epochs := m.from.epochs
	m.from.epochs = epochs[:1]
	m.from.held(m.id, m.now)
	m.from.epochs = epochs
	m.from.changeView(m.now)
	require.Equal(t, giving, m.from.slots[m.id].state)
	m.now = m.now.Add(giveLife)
	require.False(t, m.pull().Given, "used")
	require.Less(t, giveLife+pullLife, regeneration)
}

func TestNoGiveOfASlotThatWasNotActive(t *testing.T) {
	m := newMove()
	m.from.epochs[0].ripe = m.now.Add(time.Second)
	require.False(t, m.pull().Given, "idle")

	m = newMove()
	m.from.epochs[0].ripe = time.Time{}
	epochs := m.from.epochs
	m.from.epochs = epochs[:1]
	require.Equal(t, pending, m.from.held(m.id, m.now).state)
	m.from.epochs = epochs
	m.from.changeView(m.now)
	require.False(t, m.pull().Given, "pending")
}

func TestNoGiveToOneThatDoesNotHold(t *testing.T) {
	m := newMove()
	p := Pull{Account: m.id.account, Slot: m.id.index, Version: 2}
	require.False(t, m.from.give(p, "c", m.now).Given)
	p.Version = 3
	require.False(t, m.from.give(p, "b", m.now).Given, "a version not seen yet")
}

func TestALateAnswerToAPullIsLost(t *testing.T) {
	m := newMove()
	s := m.to.held(m.id, m.now)
	p := pull{slotID: m.id, gained: s.gained, asked: m.now}
	g := Give{Given: true, Balance: 100}
	require.False(t, m.to.accept(p, g, m.now.Add(pullLife+1)))
	require.False(t, m.to.accept(pull{slotID: m.id, gained: 1, asked: m.now}, g, m.now), "another gain")
	require.True(t, m.to.accept(p, g, m.now))
	require.False(t, m.to.accept(p, g, m.now), "twice")
}

func TestMissedVersionsBreakARun(t *testing.T) {
	for _, tt := range []struct {
		name    string
		stale   time.Duration
		version uint64
		want    bool
	}{
		{"next version", time.Hour, 2, true},
		{"missed, fresh until now", gapLimit, 3, true},
		{"missed, not fresh for long", gapLimit + 1, 3, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			g := newMove().from
			g.epochs = g.epochs[:1]
			members := g.current().view.Members
			id := slotID{account: "a"}
			now := g.freshAt.Add(tt.stale)
			require.Positive(t, g.spendable(id, now, true))
			g.sync(figview.NewView(tt.version, members), now, true)
			require.Equal(t, tt.want, g.spendable(id, now, true) > 0)
		})
	}
}

func activeSlot(l Limits, now time.Time) *slot {
	return &slot{state: active, balance: fromTokens(l.Burst), refilled: now}
}

func TestALeaseTakesItsRoomUntilItEnds(t *testing.T) {
	l := Limits{TokensPerSecond: 100, Burst: 100}
	now := time.Unix(1000, 0)
	s := activeSlot(l, now)
	s.lend(1, 100, now)
	s.refresh(l, now.Add(leaseHeld-1))
	require.Zero(t, s.balance.tokens())
	s = activeSlot(l, now)
	s.lend(1, 100, now)
	s.refresh(l, now.Add(leaseHeld+100*time.Millisecond))
	require.LessOrEqual(t, s.balance.tokens(), int64(10), "no refill for the time before its end")
}

func TestCreditsHaveRoomOnly(t *testing.T) {
	l := Limits{Burst: 100}
	now := time.Unix(1000, 0)
	s := activeSlot(l, now)
	s.lend(1, 60, now)
	s.take(30)
	require.EqualValues(t, 30, s.credit(50, l))
	require.EqualValues(t, -140, s.credit(-1000, l), "down to a burst below zero")
	require.False(t, s.report(1, 30, 31), "more than the lease")
	require.False(t, s.report(1, -1, 1))
	require.True(t, s.report(1, 30, 30))
	require.False(t, s.report(1, 1, 0), "settled before")
}

func TestLessorAndLesseeClocks(t *testing.T) {
	slow, fast := 0.99, 1.01
	require.Greater(t, leaseHeld.Seconds()/fast, leaseLife.Seconds()/slow)
	require.GreaterOrEqual(t, settleTime.Seconds()/fast, freshness.Seconds()/slow)
	require.GreaterOrEqual(t, regeneration.Seconds()/fast, (settleTime + leaseLife).Seconds())

	now := time.Unix(1000, 0)
	p := &purse{}
	p.leases = []lease{{asked: now, left: 10}}
	require.EqualValues(t, 10, p.available(now.Add(leaseLife-1)))
	require.Zero(t, p.available(now.Add(leaseLife)))
	require.Zero(t, p.take(10, &[Slots]int64{}, now.Add(leaseLife)))
}

func TestALeaseCountsFromItsAsk(t *testing.T) {
	m := newMove()
	a, _ := m.from.begin(m.id.account, 10)
	q := &ask{Ask: Ask{Account: m.id.account, Need: 10}}
	m.from.granted(a, q, Grant{Lease: 1, Tokens: 10}, m.now, m.now.Add(leaseLife))
	require.Zero(t, m.from.purses[m.id.account].available(m.now.Add(leaseLife)))
}

func TestReturnedTokensAreGoneAtTheLessee(t *testing.T) {
	now := time.Unix(1000, 0)
	p := &purse{leases: []lease{{holder: "h", asked: now, left: 10, spent: 5}}}
	require.Empty(t, p.reports("a", now.Add(returnAge)).returned)
	e := p.reports("a", now.Add(returnAge+1))
	require.Equal(t, []Report{{Account: "a", Spent: 5, Returned: 10}}, e.returned["h"])
	require.Zero(t, p.available(now.Add(returnAge+1)))
}

func TestMessagesCountOnceAndForOneIncarnation(t *testing.T) {
	m := newMove()
	m.to.poll(at(m.now.Add(-time.Hour)), yes)
	m.to.held(m.id, m.now)
	m.to.slots[m.id].take(200)
	q := &Request{From: "a", Incarnation: 1, Sequence: 7, Peer: 2}
	q.Refunds = []Refund{{Account: m.id.account, Slot: m.id.index, Tokens: 50}}
	m.to.answer(q, 1, m.now, true)
	require.Zero(t, m.to.tally.Credited, "for another incarnation")
	q.Peer = 1
	for range 2 {
		m.to.answer(q, 1, m.now, true)
	}
	require.EqualValues(t, 50, m.to.tally.Credited)
}

func TestWindowTellsDoublesFromReordered(t *testing.T) {
	w := &window{}
	now := time.Unix(1000, 0)
	for _, tt := range []struct {
		incarnation, sequence uint64
		want                  bool
	}{
		{2, 1, true},
		{2, 1, false},
		{2, 5, true},
		{2, 3, true},
		{2, 3, false},
		{2, 5, false},
		{2, 200, true},
		{2, 136, false},
		{2, 137, true},
		{1, 300, false},
		{3, 1, true},
		{2, 301, false},
	} {
		got := w.fresh(tt.incarnation, tt.sequence, now)
		require.Equal(t, tt.want, got, "%d/%d", tt.incarnation, tt.sequence)
	}
}

func TestOnlyFullSlotsAreForgotten(t *testing.T) {
	m := newMove()
	m.from.epochs = m.from.epochs[:1]
	m.from.held(m.id, m.now)
	m.from.slots[m.id].take(100)
	left := m.from.spendable(m.id, m.now, true)
	m.from.forget(m.now)
	require.Equal(t, left, m.from.spendable(m.id, m.now, true))
	m.from.forget(m.now.Add(time.Minute))
	require.Empty(t, m.from.slots)
}

func TestASpentSlotIsKeptThoughItsBalanceIsAsIfUnused(t *testing.T) {
	m := newMove()
	m.to.poll(at(m.now.Add(-regeneration-time.Second)), yes)
	s := m.to.held(m.id, m.now)
	require.Less(t, s.balance.tokens(), m.share.Burst)
	s.used = true
	m.to.forget(m.now)
	require.Contains(t, m.to.slots, m.id)
	s.used = false
	m.to.forget(m.now)
	require.Empty(t, m.to.slots)
}

func TestPartsSumToTheWholeAndGrowWithIt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		whole := rapid.Int64Range(0, 1<<40).Draw(t, "whole")
		more := whole + rapid.Int64Range(0, 1000).Draw(t, "more")
		sum := int64(0)
		for i := range Slots {
			sum += part(whole, i)
			require.LessOrEqual(t, part(whole, i), part(more, i))
		}
		require.Equal(t, whole, sum)
	})
}

func TestRefillNeverExceedsTrueTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Int64Range(0, 1<<30).Draw(t, "rate")
		elapsed := time.Duration(rapid.Int64Range(0, int64(1000*time.Hour)).Draw(t, "elapsed"))
		fast := time.Duration(float64(elapsed) * 1.01)
		got := float64(refill(rate, fast)) / microsPerToken
		require.LessOrEqual(t, got, float64(rate)*elapsed.Seconds()*(1+1e-9))
	})
}
