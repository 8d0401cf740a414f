// Package figtree turns the published declarations into one value that the rest
// of an instance reads. Each team owns one subtree of documents; a document is
// one published value with a version of its own.
//
// A document's path is its file path without ".yaml", such as "huber/accounts";
// the directory part is the subtree that it belongs to. Limits of a directory
// hold for everything in and below it: a document below can narrow them, and a
// value beyond them is cut to the limit and reported as a Fault.
//
// # Usage
//
//	d, faults := figtree.Parse("huber/accounts", text)
//	b := figtree.NewBuilder()
//	b.Put(d)
//	tree := b.Build()
//	account, ok := tree.Account("huber/treasury")
//
// A Builder costs time in proportion to what a document changes, not to the size
// of the tree. What it builds depends on the documents that it holds and not on
// the order in which they came. LoadDir and Explain read a directory of files.
package figtree

import "time"

// Tree is the configuration in force. It is not changed once made.
type Tree struct {
	// Version counts the trees made by this instance.
	Version uint64
	// Routes holds the plain routes, longest prefix first.
	Routes []Route
	// DataCentres holds the declared data centres in declared order.
	DataCentres []DataCentre

	accounts shardMap[*Account]
	keys     shardMap[*Key]
	pools    map[string]*Pool
}

// Account is one client account.
type Account struct {
	// ID is the path of the declaring subtree, a slash, and the declared name.
	ID string
	// Class groups accounts in metrics.
	Class string
	// TokensPerSecond is the rate at which the account's budget refills.
	TokensPerSecond int64
	// Burst is the most tokens that the budget holds.
	Burst int64
	// Weight is the account's part of a pool under overload; one by default.
	Weight int64
	// Priority orders work within a pool; higher goes first.
	Priority int
	// Pools holds the IDs of the pools that it may use.
	Pools []string
	// PromptLimit is its longest prompt, in tokens; zero means the pool's.
	PromptLimit int64
	// OutputLimit is its longest answer, in tokens; zero means the pool's.
	OutputLimit int64
}

// Key is one key of a client account, as a salted hash.
type Key struct {
	// ID is the public part of the key.
	ID string
	// Account is the ID of the client account that it stands for.
	Account string
	// Salt goes before the secret part in the hash.
	Salt []byte
	// Hash is the SHA-256 of salt and secret.
	Hash []byte
	// Withdrawn keys are known but admit nothing.
	Withdrawn bool
}

// Pool is a set of backend servers for models or for a plain service.
type Pool struct {
	// ID is unique in the tree; the published list of backend servers names it.
	ID string
	// Models holds the names that callers use; empty for a plain service.
	Models []string
	// PieceTokens is the size of a piece of engine memory, in tokens.
	PieceTokens int64
	// PromptLimit is the longest prompt, in tokens.
	PromptLimit int64
	// OutputLimit is the longest answer, in tokens.
	OutputLimit int64
	// FirstToken is the target for the first token.
	FirstToken time.Duration
	// BetweenTokens is the target between tokens.
	BetweenTokens time.Duration
	// ResultLife is how long a prefill's result survives.
	ResultLife time.Duration
	// StallLimit is how long a stream may be silent before it counts as cut.
	StallLimit time.Duration
	// Timeout bounds a request of a caller that names no deadline.
	Timeout time.Duration
	// QueueRequests bounds the waiting requests of one instance.
	QueueRequests int
	// Resume says whether its engines can go on with an answer from a token index,
	// so that the text joins exactly; each event with text is then one token.
	Resume bool
	// ChecksFence says whether its servers refuse an order with an old fencing number.
	ChecksFence bool
	// CallCost is the charge for one call of a plain service, in tokens.
	CallCost int64
}

// Route sends calls below a path prefix to a plain pool.
type Route struct {
	// Prefix is the start of the path, by whole segments.
	Prefix string
	// Pool is the ID of the pool that serves it.
	Pool string
	// Methods holds the methods that it takes; empty means all.
	Methods []string
	// Idempotent calls may be sent again after a failure.
	Idempotent bool
	// Open routes need no key and charge no account.
	Open bool
}

// DataCentre is one declared data centre.
type DataCentre struct {
	// Name is unique in the tree.
	Name string
	// Region groups data centres.
	Region string
	// Out is set while operators keep new work away from it.
	Out bool
}
