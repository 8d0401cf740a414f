// Package figlifecycle is the state machine of one request, from its arrival to its one
// outcome: the phases that it goes through, the release functions registered for it, and
// the sends made for it. It makes decisions only; it does no input or output and reads no clock.
//
// # Usage
//
//	lifecycle, ctx := figlifecycle.New(ctx, figlifecycle.Options{ID: id, Idempotent: route.Idempotent})
//	defer lifecycle.Recover() // a panic ends the request too
//	lifecycle.RegisterRelease("budget", lease.Return)
//	lifecycle.Advance(figlifecycle.Admitted)
//
//	send, err := lifecycle.Send()
//	if err != nil {
//		return // the request has ended, or must not be sent again
//	}
//	answer, err := sender.Do(ctx, call)
//	if err != nil {
//		send.Fail(err)
//		lifecycle.End(figlifecycle.CauseOf(figlifecycle.ServerFailed, err))
//	} else if send.OK(); lifecycle.ClaimAnswer() {
//		write(answer)
//		lifecycle.End(figlifecycle.Cause{Reason: figlifecycle.Done})
//	}
//	if result, ok := lifecycle.ClaimError(); ok {
//		writeError(result)
//	}
//
// Whatever ends a request must call End: a timeout, a closed caller connection, a failed
// server, a shutdown, a withdrawn key, a panic. The first call decides the outcome; later
// calls change nothing. End cancels the request's context and runs all registered
// releases in reverse order.
//
// The outcome is derived from the recorded sends and the reason for the end. It is NotRun
// only if no send was made or each send is known not to have run. Only one party can claim
// the right to write to the caller, so that the caller never gets two answers: ClaimAnswer
// claims it for a server's answer, ClaimError for an error.
package figlifecycle
