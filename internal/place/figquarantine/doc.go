// Package figquarantine finds prompt parts on which backend servers crash, and tells which requests
// contain one.
//
// An instance that loses a connection to a server while the server begins an answer finds out whether
// the server has ended. If so, the end of that server counts against the shared parts of the prompt. An
// answer on a part clears it, so that parts of harmless prompts that were beside the harmful one aren't
// blamed for long. A part is quarantined if crashThreshold servers have ended on it without an answer in between and
// no other part explains them. Of the parts of the harmful prompts it is the one that all of them have in
// common; if there are several, the last one, which fewer prompts contain.
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
//	q.Suspect(server, parts) // the connection broke before an answer had begun
//	q.RecordAnswer(parts)    // a server has answered
package figquarantine
