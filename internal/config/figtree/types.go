// Package figtree parses and validates the declarative configuration and merges it
// into one immutable Tree that the rest of an instance reads. Each team owns one
// subtree of YAML documents; each document is published and versioned separately.
//
// A document's path is its file path without ".yaml", such as "huber/accounts";
// the directory part is the subtree that it belongs to. Limits of a directory
// apply to everything in and below it. A document below can lower them; a value
// above a limit is cut to the limit and reported as a Fault.
//
// # Usage
//
//	d, faults := figtree.Parse("huber/accounts", text)
//	b := figtree.NewBuilder()
//	b.Put(d)
//	tree := b.Build()
//	account, ok := tree.Account("huber/treasury")
//
// The cost of a Build depends on what the changed documents affect, not on the size
// of the tree. The result depends only on the current documents, not on the order
// in which they were added. LoadDir and Explain read a directory of files.
package figtree

import "time"

// Tree is the effective configuration. It is immutable and safe for concurrent use.
type Tree struct {
	// Version is a counter that increases with each new tree of a Builder.
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
	// Weight is the account's relative share of a pool under overload; 1 by default.
	Weight int64
	// Priority orders work within a pool; higher goes first.
	Priority int
	// Pools holds the IDs of the pools that the account may use.
	Pools []string
	// PromptLimit is the maximum prompt length, in tokens; 0 means the limit of the pool.
	PromptLimit int64
	// OutputLimit is the maximum output length, in tokens; 0 means the limit of the pool.
	OutputLimit int64
}

// Key is one key of a client account, as a salted hash.
type Key struct {
	// ID is the public part of the key.
	ID string
	// Account is the ID of the client account that the key authenticates.
	Account string
	// Salt is hashed before the secret part of the key.
	Salt []byte
	// Hash is the SHA-256 of salt and secret.
	Hash []byte
	// Revoked keys stay in the tree but authenticate no request.
	Revoked bool
}

// Pool is a set of backend servers for models or for a plain service.
type Pool struct {
	// ID is unique in the tree; the published list of backend servers names it.
	ID string
	// Models holds the names that callers use; empty for a plain service.
	Models []string
	// BlockTokens is the size of a block of engine memory, in tokens.
	BlockTokens int64
	// PromptLimit is the maximum prompt length, in tokens.
	PromptLimit int64
	// OutputLimit is the maximum output length, in tokens.
	OutputLimit int64
	// FirstTokenTarget is the target for the time to the first token.
	FirstTokenTarget time.Duration
	// InterTokenTarget is the target for the time between two tokens.
	InterTokenTarget time.Duration
	// PrefillResultTTL is how long an engine keeps the result of a prefill.
	PrefillResultTTL time.Duration
	// StallTimeout is how long a stream may deliver nothing before it counts as broken.
	StallTimeout time.Duration
	// Timeout bounds a request whose caller sets no deadline.
	Timeout time.Duration
	// QueueLimit bounds the requests that wait in the queue of one instance.
	QueueLimit int
	// Resume reports whether the engines of the pool can continue an answer at a token
	// index with no text missing or repeated; each event with text is then one token.
	Resume bool
	// ChecksFencingToken reports whether the backend servers of the pool refuse a
	// command with an old fencing token.
	ChecksFencingToken bool
	// CallCost is the charge for one call of a plain service, in tokens.
	CallCost int64
}

// Route sends calls below a path prefix to a plain pool.
type Route struct {
	// Prefix is the start of the path, by whole segments.
	Prefix string
	// Pool is the ID of the pool that serves it.
	Pool string
	// Methods holds the allowed HTTP methods if MethodsDeclared is set; otherwise all are allowed.
	Methods         []string
	MethodsDeclared bool
	// Idempotent calls may be retried after a failure.
	Idempotent bool
	// Public routes need no key and charge no client account.
	Public bool
}

// DataCentre is one declared data centre.
type DataCentre struct {
	// Name is unique in the tree.
	Name string
	// Region groups data centres.
	Region string
	// OutOfService is set while operators keep new requests away from the data centre.
	OutOfService bool
}
