// Package figquarantine finds prompt parts on which backend servers crash, and tells which requests
// contain one.
//
// An instance that loses a connection to a server before an answer is complete finds out whether
// the server has ended. If so, the end of that server counts against the shared parts of the prompt, whenever in the
// answer it came. A part is quarantined if crashThreshold servers have ended on it that nothing clears and
// no other part explains.
//
// Two things clear crashes, so that parts of harmless prompts that were beside the harmful one aren't blamed for long. An
// answer that is complete clears those that came no later in an answer than it lasted: a short one says nothing of what
// comes later. An answer that goes on, and has lasted longer than all that the open crashes ended, clears them for
// trustTime; if it ends in a crash itself, that crash takes this back. So that answers can outlast the lost ones, evidence
// must suffice for a while before a part is quarantined.
//
// Of several parts that explain the same crashes the most suspect is blamed: the one of whose crashes fewest were cleared,
// then the one that lost fewest runs in each, since a harmful run needs no company, then the one that comes last in
// prompts, which fewer prompts contain.
//
// The instances exchange what they have seen: each change is pushed to a few others, which push it on,
// and instances whose evidence differs compare it whenever one probes the other. Every instance derives
// the same quarantine from the same evidence, so that no instance has to be asked and none is missed.
// Evidence is bounded in number and expires. A part is quarantined for quarantineTime after the last crash;
// one more crash quarantines it again. Meanwhile one instance tries single requests at growing intervals. The first
// trial comes soon if the pool has answered no other prompt, because the part may then be one that all prompts
// share.
//
// Table makes the decisions, from evidence and times that are passed in. Quarantine adds the exchange
// with other instances and the investigation of servers.
//
// # Usage
//
//	q := figquarantine.New(figquarantine.Options{Clock: clock, Timer: timer, HasEnded: hasEnded, …})
//	go q.Run(ctx)
//
//	if part, wait, ok := q.Find(parts); ok { // refuse the request
//	}
//	q.RecordProgress(parts, lasted)     // a server goes on answering
//	q.Suspect(server, parts, lasted)    // the connection broke before the answer was complete
//	q.RecordAnswer(pool, parts, lasted) // a server has answered in full
package figquarantine
