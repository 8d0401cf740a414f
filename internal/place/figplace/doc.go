// Package figplace chooses backend servers for a request and reserves room on them. It runs on the instance
// that received the request, and requests leases from the instances that own the servers (package figowner).
//
// A model request needs a decode server and a prefill server. Memory for prompt and output is reserved on the
// decode server before the prefill starts, because a prefill's result expires within a second. Then a place
// in the queue of a prefill server is reserved; the choice depends on cached prefixes, queued tokens and
// distance. If either reservation fails, the request is refused before any prefill. In a pool without prefill
// servers, or of plain servers, one server is reserved.
//
// For each reservation a fixed number of candidates is compared, so that the cost doesn't grow with the
// fleet: random servers and, for the prefill, servers found by the hash of the prompt's prefix. Candidates
// are compared by their load indexes, which owners send with every reply. Between replies, a load index is
// adjusted by the memory that this instance has released and the prefill work that the server has done in the
// meantime. This package doesn't poll servers.
//
// # Usage
//
//	p := figplace.New(figplace.Options{Self: name, DataCentre: here, View: member.View, …})
//	kernel.Register(figkernel.Service{Name: "place", Value: p, Run: func(ctx context.Context) error {
//		return p.Run(ctx, timer)
//	}})
//	…
//	placement, err := p.Place(ctx, figplace.Request{ID: id, Pool: pool, PromptTokens: n, OutputTokens: limit,
//		Prefix: figplace.PrefixHashes(prompt), Deadline: deadline})
//	if err != nil {
//		// *NoCapacityError says when to retry, *NoServerError that no listed server accepts work of the pool.
//	}
//	defer placement.Release()
//	// wait for StartPrefillAt, prefill
//	placement.PrefillDone(tokens, took)
//	// decode
//	placement.TransferDone(bytes, took)
//	placement.SetGeneratedTokens(generated)
//
// Run renews the leases, in one message for each owner. If an owner can't be reached, requests that already
// run on its servers continue: an owner that doesn't hear from the holder of a running request cancels it
// only after figowner.SilentHolderTimeout, as long as that instance is listed.
package figplace
