// Package figerror defines the error type that figtrail's packages return to each other. It
// records the step of a request or background task at which the error occurred, and the peer
// involved.
//
// # Usage
//
// Wrap an error once, where the step and the peer are known:
//
//	if err := send(ctx, server); err != nil {
//		return figerror.Wrap(err, "prefill", server.Name)
//	}
//
// Where returns both for logs and for answers to callers:
//
//	step, peer := figerror.Where(err)
//
// The cause stays reachable by errors.Is and errors.As.
package figerror

import (
	"github.com/cockroachdb/errors"
)

// Error is an error with the step and the peer at which it occurred.
type Error struct {
	// Step is the name of the step, such as "lease" or "decode".
	Step string
	// Peer is the name of the instance or backend server involved; empty if there is none.
	Peer string
	// Cause is the underlying error; it must not be nil.
	Cause error
}

// Error returns step, peer and cause on one line, without the peer if it is empty.
func (e *Error) Error() string {
	if e.Peer == "" {
		return e.Step + ": " + e.Cause.Error()
	}
	return e.Step + " at " + e.Peer + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Wrap returns an Error with step, peer and the cause err, or nil if err is nil.
func Wrap(err error, step, peer string) error {
	if err == nil {
		return nil
	}
	return &Error{Step: step, Peer: peer, Cause: err}
}

// New returns an Error with step, peer and a new cause with the given message.
func New(step, peer, message string) error {
	return &Error{Step: step, Peer: peer, Cause: errors.New(message)}
}

// Newf is like New with a format string.
func Newf(step, peer, format string, args ...any) error {
	return &Error{Step: step, Peer: peer, Cause: errors.Newf(format, args...)}
}

// Where returns the step and peer of the outermost Error in err's chain, and
// empty strings if there is none.
func Where(err error) (step, peer string) {
	var e *Error
	if errors.As(err, &e) {
		return e.Step, e.Peer
	}
	return "", ""
}
