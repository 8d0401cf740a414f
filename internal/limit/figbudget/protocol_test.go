package figbudget

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"figtrail.dev/figtrail/internal/fleet/figview"
)

// slotMove is a slot that the list moves from one ledger to another at now.
type slotMove struct {
	from, to *ledger
	id       slotID
	now      time.Time
	limits   Limits
}

// allAcked reports every version as acknowledged.
func allAcked(uint64) bool { return true }

// fixedClock returns a clock that always shows t.
func fixedClock(t time.Time) func() time.Time { return func() time.Time { return t } }

// newSlotMove returns a slot that was active and full at from until now. Both ledgers have the list
// that moves it; to has no acknowledgements of that list yet.
func newSlotMove() *slotMove {
	limits := Limits{TokensPerSecond: 300, Burst: 900}
	declared := func(string) (Limits, bool) { return limits, true }
	m := &slotMove{from: newLedger("a", 1, declared), to: newLedger("b", 1, declared)}
	members := []figview.Member{{Name: "a", DataCentre: "x"}, {Name: "b", DataCentre: "x"}}
	before, after := figview.NewView(1, members[:1]), figview.NewView(2, members)
	for i := 0; !newPlacement(after).holds("b", m.id); i++ {
		m.id = slotID{account: fmt.Sprint("account", i)}
	}
	m.limits = limits.slotLimits(m.id.index)
	m.now = time.Unix(1000, 0)
	m.from.updateView(before, m.now, true)
	m.from.recordAcks(fixedClock(m.now), allAcked)
	m.now = m.now.Add(time.Minute)
	m.from.updateView(after, m.now, true)
	m.to.updateView(after, m.now, true)
	return m
}

// transfer asks the former holder to transfer the slot.
func (m *slotMove) transfer() TransferReply {
	return m.from.handleTransferRequest(TransferRequest{Account: m.id.account, Slot: m.id.index, ViewVersion: 2}, "b", m.now)
}

// accept applies a transfer reply at the new holder and returns the slot there.
func (m *slotMove) accept(t *testing.T, g TransferReply) *slot {
	t.Helper()
	s := m.to.heldSlot(m.id, m.now)
	p := pendingTransfer{slotID: m.id, gainedVersion: s.gainedVersion, requestedAt: m.now}
	require.True(t, m.to.acceptTransfer(p, g, m.now))
	return s
}

func TestGainedSlotStartsEmptyAfterTakeoverDelay(t *testing.T) {
	m := newSlotMove()
	require.Zero(t, m.to.spendable(m.id, m.now.Add(time.Hour), true), "view not acknowledged")
	m.to.recordAcks(fixedClock(m.now), allAcked)
	require.Zero(t, m.to.spendable(m.id, m.now.Add(takeoverDelay-1), true))
	require.Zero(t, m.to.spendable(m.id, m.now.Add(takeoverDelay), true))
	later := m.now.Add(takeoverDelay + 500*time.Millisecond)
	require.InDelta(t, m.limits.TokensPerSecond/2, m.to.spendable(m.id, later, true), 2)
	require.Zero(t, m.to.spendable(m.id, later, false), "view not fresh")
	require.Equal(t, SlotNotReady, m.to.grantLease(LeaseRequest{
		Account: m.id.account, Required: 1,
	}, later, false).Status)
	other := newSlotMove()
	other.to.recordAcks(fixedClock(other.now), allAcked)
	require.InDelta(t, m.limits.TokensPerSecond/2, other.to.spendable(m.id, later, true), 2, "slot was not in memory")
}

func TestLostSlotIsNotSpentAndIsTransferredOnce(t *testing.T) {
	m := newSlotMove()
	require.Zero(t, m.from.spendable(m.id, m.now, true))
	g := m.transfer()
	require.Equal(t, TransferReply{Transferred: true, Balance: m.limits.Burst}, g)
	require.False(t, m.transfer().Transferred)
	s := m.accept(t, g)
	require.Equal(t, m.limits.Burst, s.balance.tokens())
}

func TestSpentSlotIsTransferredWithBalanceAndLeases(t *testing.T) {
	m := newSlotMove()
	earlier := m.now.Add(-time.Second)
	m.from = newSlotMove().from
	m.from.epochs = m.from.epochs[:1]
	require.Equal(t, m.limits.Burst, m.from.grantLease(LeaseRequest{
		Account: m.id.account, Required: 900,
	}, earlier, true).Tokens)
	m.from.updateView(m.to.current().view, m.now, true)
	g := m.transfer()
	require.True(t, g.Transferred)
	require.Zero(t, g.Balance)
	require.Equal(t, m.limits.Burst, g.Outstanding)
	s := m.accept(t, g)
	s.update(m.limits, m.now.Add(holderLeaseTTL-time.Millisecond))
	require.Zero(t, s.balance.tokens(), "leases of the former holder still use the burst")
	s.update(m.limits, m.now.Add(holderLeaseTTL+time.Second))
	require.InDelta(t, m.limits.TokensPerSecond, s.balance.tokens(), 2)
}

func TestNoTransferAfterTransferWindow(t *testing.T) {
	m := newSlotMove()
	m.now = m.now.Add(transferWindow)
	require.False(t, m.transfer().Transferred, "idle")

	m = newSlotMove()
	epochs := m.from.epochs
	m.from.epochs = epochs[:1]
	m.from.heldSlot(m.id, m.now)
	m.from.epochs = epochs
	m.from.releaseLostSlots(m.now)
	require.Equal(t, releasing, m.from.slots[m.id].state)
	m.now = m.now.Add(transferWindow)
	require.False(t, m.transfer().Transferred, "used")
	require.Less(t, transferWindow+transferReplyTTL, takeoverDelay)
}

func TestNoTransferOfInactiveSlot(t *testing.T) {
	m := newSlotMove()
	m.from.epochs[0].activateAt = m.now.Add(time.Second)
	require.False(t, m.transfer().Transferred, "idle")

	m = newSlotMove()
	m.from.epochs[0].activateAt = time.Time{}
	epochs := m.from.epochs
	m.from.epochs = epochs[:1]
	require.Equal(t, pending, m.from.heldSlot(m.id, m.now).state)
	m.from.epochs = epochs
	m.from.releaseLostSlots(m.now)
	require.False(t, m.transfer().Transferred, "pending")
}

func TestNoTransferToNonHolder(t *testing.T) {
	m := newSlotMove()
	p := TransferRequest{Account: m.id.account, Slot: m.id.index, ViewVersion: 2}
	require.False(t, m.from.handleTransferRequest(p, "c", m.now).Transferred)
	p.ViewVersion = 3
	require.False(t, m.from.handleTransferRequest(p, "b", m.now).Transferred, "view version unknown to the former holder")
}

func TestExpiredTransferReplyIsDropped(t *testing.T) {
	m := newSlotMove()
	s := m.to.heldSlot(m.id, m.now)
	p := pendingTransfer{slotID: m.id, gainedVersion: s.gainedVersion, requestedAt: m.now}
	g := TransferReply{Transferred: true, Balance: 100}
	require.False(t, m.to.acceptTransfer(p, g, m.now.Add(transferReplyTTL+1)))
	require.False(t, m.to.acceptTransfer(pendingTransfer{
		slotID: m.id, gainedVersion: 1, requestedAt: m.now,
	}, g, m.now), "slot gained with another view")
	require.True(t, m.to.acceptTransfer(p, g, m.now))
	require.False(t, m.to.acceptTransfer(p, g, m.now), "twice")
}

func TestMissedVersionsDropSlotsUnlessRecentlyFresh(t *testing.T) {
	for _, tt := range []struct {
		name    string
		stale   time.Duration
		version uint64
		want    bool
	}{
		{"next version", time.Hour, 2, true},
		{"missed, fresh until now", maxFreshGap, 3, true},
		{"missed, not fresh for long", maxFreshGap + 1, 3, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			g := newSlotMove().from
			g.epochs = g.epochs[:1]
			members := g.current().view.Members
			id := slotID{account: "a"}
			now := g.lastFreshAt.Add(tt.stale)
			require.Positive(t, g.spendable(id, now, true))
			g.updateView(figview.NewView(tt.version, members), now, true)
			require.Equal(t, tt.want, g.spendable(id, now, true) > 0)
		})
	}
}

func activeSlot(l Limits, now time.Time) *slot {
	return &slot{state: active, balance: toMicroTokens(l.Burst), refilledAt: now}
}

func TestLeaseBlocksRefillUntilItExpires(t *testing.T) {
	l := Limits{TokensPerSecond: 100, Burst: 100}
	now := time.Unix(1000, 0)
	s := activeSlot(l, now)
	s.addLease(1, 100, now)
	s.update(l, now.Add(holderLeaseTTL-1))
	require.Zero(t, s.balance.tokens())
	s = activeSlot(l, now)
	s.addLease(1, 100, now)
	s.update(l, now.Add(holderLeaseTTL+100*time.Millisecond))
	require.LessOrEqual(t, s.balance.tokens(), int64(10), "no refill for the time before the lease expired")
}

func TestCreditIsBoundedByBurst(t *testing.T) {
	l := Limits{Burst: 100}
	now := time.Unix(1000, 0)
	s := activeSlot(l, now)
	s.addLease(1, 60, now)
	s.spend(30)
	require.EqualValues(t, 30, s.credit(50, l))
	require.EqualValues(t, -140, s.credit(-1000, l), "balance falls to minus one burst")
	require.False(t, s.applyReport(1, 30, 31), "more tokens than leased")
	require.False(t, s.applyReport(1, -1, 1))
	require.True(t, s.applyReport(1, 30, 30))
	require.False(t, s.applyReport(1, 1, 0), "already settled")
}

func TestTimeoutsCoverClockError(t *testing.T) {
	slow, fast := 0.99, 1.01
	require.Greater(t, holderLeaseTTL.Seconds()/fast, leaseTTL.Seconds()/slow)
	require.GreaterOrEqual(t, staleHolderTime.Seconds()/fast, maxViewAge.Seconds()/slow)
	require.GreaterOrEqual(t, takeoverDelay.Seconds()/fast, (staleHolderTime + leaseTTL).Seconds())

	now := time.Unix(1000, 0)
	p := &accountState{}
	p.leases = []lease{{requestedAt: now, remaining: 10}}
	require.EqualValues(t, 10, p.available(now.Add(leaseTTL-1)))
	require.Zero(t, p.available(now.Add(leaseTTL)))
	require.Zero(t, p.spend(10, &[SlotCount]int64{}, now.Add(leaseTTL)))
}

func TestLeaseTTLStartsAtRequest(t *testing.T) {
	m := newSlotMove()
	a, _ := m.from.newAttempt(m.id.account, 10)
	q := &peerRequest{LeaseRequest: LeaseRequest{Account: m.id.account, Required: 10}}
	m.from.applyGrant(a, q, Grant{Lease: 1, Tokens: 10}, m.now, m.now.Add(leaseTTL))
	require.Zero(t, m.from.accounts[m.id.account].available(m.now.Add(leaseTTL)))
}

func TestReturnedTokensAreRemovedFromLessee(t *testing.T) {
	now := time.Unix(1000, 0)
	p := &accountState{leases: []lease{{holder: "h", requestedAt: now, remaining: 10, spent: 5}}}
	require.Empty(t, p.removeFinished("a", now.Add(leaseReturnAge)).withRemainder)
	e := p.removeFinished("a", now.Add(leaseReturnAge+1))
	require.Equal(t, []LeaseReport{{Account: "a", Spent: 5, Returned: 10}}, e.withRemainder["h"])
	require.Zero(t, p.available(now.Add(leaseReturnAge+1)))
}

func TestRefundsApplyOnceAndToOneIncarnation(t *testing.T) {
	m := newSlotMove()
	m.to.recordAcks(fixedClock(m.now.Add(-time.Hour)), allAcked)
	m.to.heldSlot(m.id, m.now)
	m.to.slots[m.id].spend(200)
	q := &Request{From: "a", Incarnation: 1, Sequence: 7, PeerIncarnation: 2}
	q.Refunds = []Refund{{Account: m.id.account, Slot: m.id.index, Tokens: 50}}
	m.to.handleRequest(q, 1, m.now, true)
	require.Zero(t, m.to.totals.Credited, "for another incarnation")
	q.PeerIncarnation = 1
	for range 2 {
		m.to.handleRequest(q, 1, m.now, true)
	}
	require.EqualValues(t, 50, m.to.totals.Credited)
}

func TestReplayWindowAcceptsReorderedAndRejectsDuplicates(t *testing.T) {
	w := &replayWindow{}
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
		got := w.isNew(tt.incarnation, tt.sequence, now)
		require.Equal(t, tt.want, got, "%d/%d", tt.incarnation, tt.sequence)
	}
}

func TestOnlyFullSlotsAreEvicted(t *testing.T) {
	m := newSlotMove()
	m.from.epochs = m.from.epochs[:1]
	m.from.heldSlot(m.id, m.now)
	m.from.slots[m.id].spend(100)
	left := m.from.spendable(m.id, m.now, true)
	m.from.evict(m.now)
	require.Equal(t, left, m.from.spendable(m.id, m.now, true))
	m.from.evict(m.now.Add(time.Minute))
	require.Empty(t, m.from.slots)
}

func TestSpentSlotIsKeptWithBalanceOfUntouchedSlot(t *testing.T) {
	m := newSlotMove()
	m.to.recordAcks(fixedClock(m.now.Add(-takeoverDelay-time.Second)), allAcked)
	s := m.to.heldSlot(m.id, m.now)
	require.Less(t, s.balance.tokens(), m.limits.Burst)
	s.everUsed = true
	m.to.evict(m.now)
	require.Contains(t, m.to.slots, m.id)
	s.everUsed = false
	m.to.evict(m.now)
	require.Empty(t, m.to.slots)
}

func TestSlotPartsSumToWholeAndGrowWithIt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		whole := rapid.Int64Range(0, 1<<40).Draw(t, "whole")
		more := whole + rapid.Int64Range(0, 1000).Draw(t, "more")
		sum := int64(0)
		for i := range SlotCount {
			sum += slotPart(whole, i)
			require.LessOrEqual(t, slotPart(whole, i), slotPart(more, i))
		}
		require.Equal(t, whole, sum)
	})
}

func TestRefillNeverExceedsTrueTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Int64Range(0, 1<<30).Draw(t, "rate")
		elapsed := time.Duration(rapid.Int64Range(0, int64(1000*time.Hour)).Draw(t, "elapsed"))
		fast := time.Duration(float64(elapsed) * 1.01)
		got := float64(refillAmount(rate, fast)) / microTokensPerToken
		require.LessOrEqual(t, got, float64(rate)*elapsed.Seconds()*(1+1e-9))
	})
}
