package figqueue

import (
	"math"
	"time"
)

const (
	// shareTimeConstant is the time constant of the average of what accounts get.
	shareTimeConstant = 5 * time.Second
	// shareMemory is how long an account counts as one of those that share after its last request.
	shareMemory = 2 * shareTimeConstant
	// maxShareAccounts bounds the accounts that are measured. A further one counts as beyond its share.
	maxShareAccounts = 4096
	// shareMargin allows for rounding in the comparison of an account's tokens with its share.
	shareMargin = 1e-6
)

// shares measures the tokens that each account got, as exponential averages.
type shares struct {
	accounts map[string]*used
	total    used
	weights  float64
	sweptAt  time.Time
	// changes counts the changes, after which results of within are computed anew.
	changes uint64
}

// used is a decaying sum of tokens.
type used struct {
	tokens    float64
	weight    float64
	updatedAt time.Time
	// lastAt is the time of the account's last request.
	lastAt time.Time
	// isWithin is the result of within at checkedAt, after that number of changes.
	isWithin  bool
	checkedAt time.Time
	changes   uint64
}

// at returns the sum at now.
func (u *used) at(now time.Time) float64 {
	elapsed := max(0, now.Sub(u.updatedAt).Seconds())
	return u.tokens * math.Exp(-elapsed/shareTimeConstant.Seconds())
}

func (u *used) add(tokens float64, now time.Time) {
	u.tokens = u.at(now) + tokens
	u.updatedAt = now
}

// note counts the account among those that share.
func (h *shares) note(account string, weight float64, now time.Time) {
	if now.Sub(h.sweptAt) > shareTimeConstant {
		h.sweep(now)
	}
	u := h.accounts[account]
	if u == nil {
		if len(h.accounts) >= maxShareAccounts {
			return
		}
		u = &used{updatedAt: now}
		h.accounts[account] = u
	}
	h.changes++
	h.weights += weight - u.weight
	u.weight, u.lastAt = weight, now
}

// add counts tokens as placed for the account.
func (h *shares) add(account string, tokens float64, now time.Time) {
	h.changes++
	h.total.add(tokens, now)
	if u := h.accounts[account]; u != nil {
		u.add(tokens, now)
		u.lastAt = now
	}
}

// within reports whether the account has had at most its share by weight of what was placed.
func (h *shares) within(account string, now time.Time) bool {
	u := h.accounts[account]
	if u == nil {
		return false
	}
	if u.changes != h.changes || u.checkedAt != now {
		u.isWithin = u.at(now)*h.weights <= h.total.at(now)*u.weight*(1+shareMargin)
		u.checkedAt, u.changes = now, h.changes
	}
	return u.isWithin
}

// sweep forgets the accounts without requests for shareMemory.
func (h *shares) sweep(now time.Time) {
	h.sweptAt, h.weights = now, 0
	for account, u := range h.accounts {
		if now.Sub(u.lastAt) > shareMemory {
			delete(h.accounts, account)
			continue
		}
		h.weights += u.weight
	}
}
