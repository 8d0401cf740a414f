//go:build !linux

package fignet

import (
	"syscall"
	"time"
)

// setUnackedTimeout does nothing where the kernel has no such limit.
func setUnackedTimeout(time.Duration) func(string, string, syscall.RawConn) error {
	return func(string, string, syscall.RawConn) error { return nil }
}
