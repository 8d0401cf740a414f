// Package figassign assigns keys, such as client accounts and backend servers, to instances where no
// list of instances is published: by rendezvous hashing over the members that this instance knows.
// Instances with different lists may choose different owners for a moment, so whatever an owner
// decides must be harmless if a second one decides it too.
//
// # Usage
//
//	a := figassign.New(figassign.Options{Self: name, Clock: clock, Members: d.Present, Epoch: d.Epoch})
//	for _, m := range a.Owners("account/acme", 2) {
//		if err := ask(m); err == nil {
//			break
//		}
//		a.MarkUnresponsive(m.Name)
//	}
//
// Members with more memory are preferred, as work for the whole fleet needs some. An owner that
// doesn't answer is passed over for a short time, until it answers again or is no longer a member.
package figassign

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"figtrail.dev/figtrail/internal/core/figtimer"
	"figtrail.dev/figtrail/internal/fleet/figdiscovery"
	"figtrail.dev/figtrail/internal/fleet/figview"
)

const (
	// minCandidates is the number of members among which owners are chosen at least, if there are as
	// many. Members with less memory join only if those with more are fewer.
	minCandidates = 6
	// unresponsiveTime is how long a member that did not answer is passed over.
	unresponsiveTime = time.Second
	// maxCached bounds the cached assignments; beyond it the cache starts again.
	maxCached = 4096
)

// Options holds the dependencies of an Assigner. All fields are required.
type Options struct {
	// Self is the name of this instance.
	Self  string
	Clock figtimer.Clock
	// Members returns the present members, this instance included, sorted by name. Epoch returns a
	// number that changes with them.
	Members func() []figdiscovery.Member
	Epoch   func() uint64
}

// Assigner assigns keys to members. It is safe for concurrent use.
type Assigner struct {
	Options

	mu           sync.Mutex
	epoch        uint64
	cached       map[string][]figdiscovery.Member
	unresponsive map[string]time.Time
}

// New returns an Assigner.
func New(o Options) *Assigner {
	return &Assigner{Options: o, cached: map[string][]figdiscovery.Member{}, unresponsive: map[string]time.Time{}}
}

// Owners returns the n members that rank first for a key, fewer if there are fewer. The caller must
// not modify the list.
func (a *Assigner) Owners(key string, n int) []figdiscovery.Member {
	return a.owners(key, n, func() []figdiscovery.Member { return Rank(key, a.Members(), n) })
}

// owners returns the cached ranking for a key, which rank computes if there is none.
func (a *Assigner) owners(key string, n int, rank func() []figdiscovery.Member) []figdiscovery.Member {
	a.mu.Lock()
	defer a.mu.Unlock()
	if epoch := a.Epoch(); epoch != a.epoch || len(a.cached) > maxCached {
		a.epoch = epoch
		clear(a.cached)
	}
	ranked, ok := a.cached[key]
	if !ok || len(ranked) < n {
		ranked = rank()
		a.cached[key] = ranked
	}
	return ranked[:min(n, len(ranked))]
}

// OwnersIn is like Owners for the members of one data centre.
func (a *Assigner) OwnersIn(key, dataCentre string, n int) []figdiscovery.Member {
	return a.owners(key+"@"+dataCentre, n, func() []figdiscovery.Member { return RankIn(key, dataCentre, a.Members(), n) })
}

// IsSelf reports whether a member is this instance.
func (a *Assigner) IsSelf(m figdiscovery.Member) bool { return m.Name == a.Self }

// MarkUnresponsive notes that a member did not answer.
func (a *Assigner) MarkUnresponsive(name string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.unresponsive[name] = a.Clock.Now()
}

// Responsive reports whether a member has not failed to answer lately.
func (a *Assigner) Responsive(name string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	at, marked := a.unresponsive[name]
	if !marked {
		return true
	}
	if a.Clock.Now().Sub(at) < unresponsiveTime {
		return false
	}
	delete(a.unresponsive, name)
	return true
}

// RetryTime returns after what time a member that did not answer is asked again.
func (a *Assigner) RetryTime() time.Duration { return unresponsiveTime }

// Rank returns the n members that rank first for a key among the candidates: the members with the
// most memory, and as many others as it takes for minCandidates, or n if that is more.
func Rank(key string, members []figdiscovery.Member, n int) []figdiscovery.Member {
	return rankAmong(key, members, n, max(n, minCandidates))
}

// RankIn returns the n members of a data centre that rank first for a key, those with the most memory
// first.
func RankIn(key, dataCentre string, members []figdiscovery.Member, n int) []figdiscovery.Member {
	var local []figdiscovery.Member
	for i := range members {
		if members[i].DataCentre == dataCentre {
			local = append(local, members[i])
		}
	}
	return rankAmong(key, local, n, n)
}

func rankAmong(key string, members []figdiscovery.Member, n, least int) []figdiscovery.Member {
	candidates := candidates(members, least)
	hash := figview.Key(key)
	slices.SortFunc(candidates, func(x, y figdiscovery.Member) int {
		return cmp.Or(cmp.Compare(figview.Weight(hash, y.Name), figview.Weight(hash, x.Name)), cmp.Compare(x.Name, y.Name))
	})
	return candidates[:min(n, len(candidates))]
}

// candidates returns the members with the most memory: at least n, if there are as many, and all that
// have as much as the last of them.
func candidates(members []figdiscovery.Member, n int) []figdiscovery.Member {
	sorted := slices.Clone(members)
	slices.SortStableFunc(sorted, func(x, y figdiscovery.Member) int { return cmp.Compare(y.MemoryMB, x.MemoryMB) })
	for len(sorted) > n && sorted[len(sorted)-1].MemoryMB < sorted[n-1].MemoryMB {
		sorted = sorted[:len(sorted)-1]
	}
	return sorted
}

// Highest returns the member of a list with the highest weight for a key. The list must not be empty.
func Highest(key string, members []figdiscovery.Member) figdiscovery.Member {
	hash := figview.Key(key)
	return slices.MaxFunc(members, func(x, y figdiscovery.Member) int {
		return cmp.Or(cmp.Compare(figview.Weight(hash, x.Name), figview.Weight(hash, y.Name)), cmp.Compare(y.Name, x.Name))
	})
}
