// Package figplace chooses the backend servers of a request and holds their
// reservations. It runs on the instance that the caller reached and asks the
// owners of the servers (package figowner) for room.
//
// Room for prompt and output is reserved on a decode server before the prefill
// starts, because the result of a prefill lives less than a second. Then a place
// in the queue of a prefill server is reserved, by cached prefix, queue in tokens
// and distance. A request that can't get both is refused before any prefill.
//
// A choice looks at a fixed number of candidates, some of them random, some
// found by the hash of the prompt's prefix, so that its cost doesn't grow with the
// fleet. They are compared by the load index that rides on every reply of an
// owner, corrected by what this instance has placed since; nothing is polled.
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
//		// *NoRoom says when to try again, *NoServer that nothing serves the pool.
//	}
//	defer placement.Release()
//	// wait for StartPrefillAt, prefill
//	placement.PrefillDone(tokens, took)
//	// decode
//	placement.TransferDone(bytes, took)
//	placement.Progress(generated)
//
// Leases are renewed by Run in one message for each owner. A placement whose
// owner can't be reached goes on: the owner waits figowner.SilenceLimit before it
// cancels work whose holder is still listed.
package figplace
