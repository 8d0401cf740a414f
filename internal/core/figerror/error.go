// Package figerror defines the error that crosses package borders in figtrail.
// It says at which step of a request or duty the error arose, and at which peer.
//
// # Usage
//
// Wrap an error once, where the step and the peer are known:
//
//	if err := send(ctx, server); err != nil {
//		return figerror.Wrap(err, "prefill", server.Name)
//	}
//
// Read them back for logs and for answers to callers:
//
//	step, peer := figerror.Where(err)
//
// The cause stays reachable by errors.Is and errors.As.
package figerror

import (
	"github.com/cockroachdb/errors"
)

// Error is an error with the step and the peer at which it arose.
type Error struct {
	// Step names the part of the work, such as "lease" or "decode".
	Step string
	// Peer names the other side: an instance, a backend server, or empty for none.
	Peer string
	// Cause is the error that was met there.
	Cause error
}

// Error returns step, peer and cause on one line.
func (e *Error) Error() string {
	if e.Peer == "" {
		return e.Step + ": " + e.Cause.Error()
	}
	return e.Step + " at " + e.Peer + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Wrap adds step and peer to err. It returns nil for a nil err.
func Wrap(err error, step, peer string) error {
	if err == nil {
		return nil
	}
	return &Error{Step: step, Peer: peer, Cause: err}
}

// New returns an error with a message of its own, made at step and peer.
func New(step, peer, message string) error {
	return &Error{Step: step, Peer: peer, Cause: errors.New(message)}
}

// Newf is New with a format.
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
