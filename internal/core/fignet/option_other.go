//go:build !linux

package fignet

import (
	"syscall"
	"time"
)

// setUnackedTimeout returns a control function that does nothing: TCP_USER_TIMEOUT is specific to
// Linux.
func setUnackedTimeout(time.Duration) func(string, string, syscall.RawConn) error {
	return func(string, string, syscall.RawConn) error { return nil }
}
