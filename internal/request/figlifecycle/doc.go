// Package figlifecycle holds the life of one request: the phases it passes, what it
// holds, what was sent for it, and the one outcome that it ends with. It decides
// only; it does no input or output and reads no clock.
//
// # Usage
//
//	life, ctx := figlifecycle.New(ctx, figlifecycle.Options{ID: id, Idempotent: route.Idempotent})
//	defer life.Recover() // a panic ends the request too
//	life.Hold("budget", lease.Return)
//	life.Advance(figlifecycle.Admitted)
//
//	send, err := life.Send()
//	if err != nil {
//		return // ended meanwhile, or it may not be sent again
//	}
//	answer, err := sender.Do(ctx, call)
//	if err != nil {
//		send.Fail(err)
//		life.End(figlifecycle.CauseOf(figlifecycle.ServerFailed, err))
//	} else if send.OK(); life.FirstByte() {
//		write(answer)
//		life.End(figlifecycle.Cause{Reason: figlifecycle.Done})
//	}
//	if result, ok := life.Reply(); ok {
//		writeError(result)
//	}
//
// Every exit calls End: a timeout, a caller that left, a lost server, a drain, a
// withdrawn key, a panic. The first call decides; later ones change nothing. End
// ends the request's context and runs all releases, last one first.
//
// The outcome is worked out from what happened, never given: "not run" comes out
// only if no send was made or the failure of each says so. The first byte of the
// answer can be claimed once, by FirstByte for the server's answer or by Reply
// for an error.
package figlifecycle
