package figroute

import "time"

// Kind says whether responses on a route are streams and whether requests may be retried after they were sent.
type Kind uint8

const (
	// AtMostOnce is a call that must not be executed more than once.
	AtMostOnce Kind = iota
	// Idempotent is a call that may be executed more than once.
	Idempotent
	// Stream is a stream of events that must not be executed more than once.
	Stream
	// ResumableStream is a stream of events that another server can continue after the last event that the caller
	// received.
	ResumableStream
)

var kindNames = [...]string{"once", "idempotent", "stream", "resumableStream"}

// String returns the name used in logs and metrics.
func (k Kind) String() string { return kindNames[k] }

// Streams says whether responses are streams of events.
func (k Kind) Streams() bool { return k == Stream || k == ResumableStream }

// Retryable says whether a request may be executed again after a failure.
func (k Kind) Retryable() bool { return k == Idempotent || k == ResumableStream }

// Share is the proportion of a route's requests that goes to one pool.
type Share struct {
	// Pool is the pool's name.
	Pool string `cbor:"Pool"`
	// Weight is the proportion, relative to the sum of all weights of the route.
	Weight int `cbor:"Weight"`
}

// Route assigns the requests of a host and path prefix to pools.
type Route struct {
	// Name identifies the route in logs.
	Name string `cbor:"Name"`
	// Host and Prefix select the requests: by host name, and by the beginning of the path.
	Host   string `cbor:"Host"`
	Prefix string `cbor:"Prefix"`
	// Kind says whether requests may be retried and whether responses are streams.
	Kind Kind `cbor:"Kind"`
	// Shares holds the pools; there is at least one.
	Shares []Share `cbor:"Shares"`
	// TimeLimit is the maximum time from a request's arrival to the end of its response.
	TimeLimit time.Duration `cbor:"TimeLimit"`
	// LatencyTarget is the time within which a response, or the first event of a stream, is on time.
	LatencyTarget time.Duration `cbor:"Target"`
	// MaxServers is the maximum number of backend servers on which one request may be executed, retries included.
	MaxServers int `cbor:"Servers"`
	// Priority is the priority class of the requests; 0 is the highest.
	Priority int `cbor:"Priority"`
	// NoKeyRequired says that requests need no key.
	NoKeyRequired bool `cbor:"Open"`
}

// Engine describes the model engines of a pool.
type Engine struct {
	// MemoryTokens is the size of one engine's KV cache, in tokens.
	MemoryTokens int64 `cbor:"MemoryTokens"`
	// Slots is the number of requests that one engine runs concurrently.
	Slots int `cbor:"Slots"`
	// TokensPerEvent is the number of tokens that one event of a stream carries.
	TokensPerEvent int64 `cbor:"EventTokens"`
	// ResultTTL is how long the result of a prefill is kept.
	ResultTTL time.Duration `cbor:"ResultLife"`
}

// Pool is a group of interchangeable backend servers.
type Pool struct {
	// Name identifies the pool in routes.
	Name string `cbor:"Name"`
	// MaxConnections is the maximum number of connections that one server accepts from all its callers together; 0
	// means that no limit is declared.
	MaxConnections int `cbor:"Connections"`
	// ColdStartRate is the maximum request rate of a server in a cold start, per second, from all instances
	// together; 0 means no limit.
	ColdStartRate float64 `cbor:"ColdRate"`
	// Engine describes the pool's model engines; nil for pools of plain services.
	Engine *Engine `cbor:"Engine"`
}

// Account is a client account.
type Account struct {
	// Name identifies the account to backend servers.
	Name string `cbor:"Name"`
	// Keys holds the digests of the account's keys.
	Keys []Digest `cbor:"Keys"`
	// Priority replaces the priority of the route if HasPriority is set.
	Priority    int  `cbor:"Priority"`
	HasPriority bool `cbor:"HasPriority"`
	// Rate (per second) and Burst are the account's token bucket over all instances together. A Rate of 0 means no
	// limit.
	Rate  float64 `cbor:"Rate"`
	Burst float64 `cbor:"Burst"`
	// CountsTokens says that Rate and Burst are in model tokens, not in requests.
	CountsTokens bool `cbor:"CountsTokens"`
	// DefaultTokens is the cost, in tokens, of a request that declares no size.
	DefaultTokens int64 `cbor:"PlainTokens"`
}

// Cost returns what a request of the given size costs against Rate: its tokens, or DefaultTokens (at least 1) if
// tokens is 0, if the account counts tokens; else 1.
func (a *Account) Cost(tokens int64) int64 {
	switch {
	case !a.CountsTokens:
		return 1
	case tokens > 0:
		return tokens
	default:
		return max(a.DefaultTokens, 1)
	}
}

// Limits holds the size limits of requests.
type Limits struct {
	// HeaderBytes and BodyBytes bound the header and body of one request; 0 means that no limit is declared.
	HeaderBytes int `cbor:"HeaderBytes"`
	BodyBytes   int `cbor:"BodyBytes"`
}

// Declarations is one version of everything that operators declare.
type Declarations struct {
	// Version grows with each change.
	Version  uint64    `cbor:"Version"`
	Routes   []Route   `cbor:"Routes"`
	Pools    []Pool    `cbor:"Pools"`
	Accounts []Account `cbor:"Accounts"`
	// KeysRequired says that requests need keys even if Accounts is empty. They need keys without it too if there are
	// accounts: instances of earlier releases don't pass it on.
	KeysRequired bool   `cbor:"KeysRequired"`
	Limits       Limits `cbor:"Limits"`
}
