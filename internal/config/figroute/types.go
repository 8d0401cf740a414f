package figroute

import "time"

// Kind says what may be repeated on a route.
type Kind uint8

const (
	// Once is a call that may run at most once.
	Once Kind = iota
	// Idempotent is a call that may run more than once.
	Idempotent
	// Stream is a stream of events that may run at most once.
	Stream
	// ResumableStream is a stream that another server may continue after the last
	// event that the caller has.
	ResumableStream
)

var kindNames = [...]string{"once", "idempotent", "stream", "resumableStream"}

// String returns the name used in logs and metrics.
func (k Kind) String() string { return kindNames[k] }

// Streams says that answers are streams of events.
func (k Kind) Streams() bool { return k == Stream || k == ResumableStream }

// Repeats says that a request may run again after a failure.
func (k Kind) Repeats() bool { return k == Idempotent || k == ResumableStream }

// Share is the part of a route's requests that goes to one pool.
type Share struct {
	// Pool is the pool's name.
	Pool string `cbor:"Pool"`
	// Weight is the part, relative to the sum of all weights.
	Weight int `cbor:"Weight"`
}

// Route sends the requests of a host and path prefix to pools.
type Route struct {
	// Name names the route in logs.
	Name string `cbor:"Name"`
	// Host is the host that requests name; Prefix begins their path.
	Host   string `cbor:"Host"`
	Prefix string `cbor:"Prefix"`
	// Kind says what may be repeated.
	Kind Kind `cbor:"Kind"`
	// Shares holds the pools; there is at least one.
	Shares []Share `cbor:"Shares"`
	// TimeLimit is the longest time from arrival to the final answer.
	TimeLimit time.Duration `cbor:"TimeLimit"`
	// Target is the time within which an answer, or a stream's first event, is
	// on time.
	Target time.Duration `cbor:"Target"`
	// Servers is the most backend servers on which one request may run.
	Servers int `cbor:"Servers"`
	// Priority ranks the requests, 0 first.
	Priority int `cbor:"Priority"`
	// Open routes need no key.
	Open bool `cbor:"Open"`
}

// Engine describes the model engines of a pool.
type Engine struct {
	// MemoryTokens is the KV cache of one engine, in tokens.
	MemoryTokens int64 `cbor:"MemoryTokens"`
	// Slots is how many requests one engine runs at once.
	Slots int `cbor:"Slots"`
	// EventTokens is how many tokens one event of a stream carries.
	EventTokens int64 `cbor:"EventTokens"`
	// ResultLife is how long the result of a prefill is kept.
	ResultLife time.Duration `cbor:"ResultLife"`
}

// Pool is a group of interchangeable backend servers.
type Pool struct {
	// Name names the pool in routes.
	Name string `cbor:"Name"`
	// Connections is the most connections that one server accepts from all
	// callers together; 0 means no bound is declared.
	Connections int `cbor:"Connections"`
	// ColdRate is how many requests a second a server in a cold start tolerates
	// from all instances together; 0 means no bound.
	ColdRate float64 `cbor:"ColdRate"`
	// Engine is set for pools of model engines.
	Engine *Engine `cbor:"Engine"`
}

// Account is a client account.
type Account struct {
	// Name names the account to backend servers.
	Name string `cbor:"Name"`
	// Keys holds the digests of its keys.
	Keys []Digest `cbor:"Keys"`
	// Priority replaces the route's if HasPriority is set.
	Priority    int  `cbor:"Priority"`
	HasPriority bool `cbor:"HasPriority"`
	// Rate and Burst bound what the account may spend, per second and at once,
	// over all instances together; a Rate of 0 means no bound.
	Rate  float64 `cbor:"Rate"`
	Burst float64 `cbor:"Burst"`
	// CountsTokens says that Rate and Burst are in tokens, not in requests.
	CountsTokens bool `cbor:"CountsTokens"`
	// PlainTokens is what a request without a declared size counts, in tokens.
	PlainTokens int64 `cbor:"PlainTokens"`
}

// Cost returns what a request of tokens counts against the account's rate;
// tokens is 0 if the request declares no size.
func (a *Account) Cost(tokens int64) int64 {
	switch {
	case !a.CountsTokens:
		return 1
	case tokens > 0:
		return tokens
	default:
		return max(a.PlainTokens, 1)
	}
}

// Limits bound what a caller may send.
type Limits struct {
	// HeaderBytes and BodyBytes bound one request; 0 means no bound is declared.
	HeaderBytes int `cbor:"HeaderBytes"`
	BodyBytes   int `cbor:"BodyBytes"`
}

// Declarations is one version of all that operators declare.
type Declarations struct {
	// Version only grows.
	Version  uint64    `cbor:"Version"`
	Routes   []Route   `cbor:"Routes"`
	Pools    []Pool    `cbor:"Pools"`
	Accounts []Account `cbor:"Accounts"`
	Limits   Limits    `cbor:"Limits"`
}
