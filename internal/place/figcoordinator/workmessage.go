package figcoordinator

import "time"

// WorkQuery asks an instance for the work that it measured in some pools.
type WorkQuery struct {
	Pools []string `cbor:"1,keyasint"`
}

// WorkAnswer is the answer to a WorkQuery. It has no entry for a pool without a whole measured window.
type WorkAnswer struct {
	All []PoolWork `cbor:"1,keyasint"`
}

// PoolWork is the work at the engines of a pool that one instance coordinates, averaged over a window that ends now.
type PoolWork struct {
	Pool   string        `cbor:"1,keyasint"`
	Window time.Duration `cbor:"2,keyasint"`
	// PrefillServers and DecodeServers are the mean numbers of usable servers.
	PrefillServers float64 `cbor:"3,keyasint"`
	DecodeServers  float64 `cbor:"4,keyasint"`
	// PromptTokens is the rate of prompt tokens placed on prefill servers, MissedTokens that of prompts for which none was
	// suitable although the decode server was in use, both in tokens per second.
	PromptTokens float64 `cbor:"5,keyasint"`
	MissedTokens float64 `cbor:"6,keyasint"`
	// Prompts is the rate of the prompts in both, per second.
	Prompts float64 `cbor:"7,keyasint"`
	// PrefillSpeed is the last measured speed of one prefill server in tokens per second; 0 if unknown.
	PrefillSpeed float64 `cbor:"8,keyasint,omitempty"`
	// PrefillBusy is the mean number of prefill servers with a prompt in progress, PrefillTime the mean duration of a
	// prefill with its queue; 0 if unknown.
	PrefillBusy float64       `cbor:"9,keyasint"`
	PrefillTime time.Duration `cbor:"10,keyasint,omitempty"`
	// HeldTokens is the mean memory in use at decode servers, in tokens: token-seconds per second.
	HeldTokens float64 `cbor:"11,keyasint"`
	// FullMemory is the mean memory in use per decode server at the times at which requests waited, in tokens; 0 if none
	// did. Requests differ in size, so that it is less than the servers' memory.
	FullMemory float64 `cbor:"15,keyasint,omitempty"`
	// Waiting is the mean number of waiting requests. Refused is the rate of requests refused for lack of room after a
	// wait, and Placed that of placements, both per second.
	Waiting float64 `cbor:"12,keyasint"`
	Refused float64 `cbor:"13,keyasint"`
	Placed  float64 `cbor:"14,keyasint"`
}
