//go:build !linux

package figsend

import "syscall"

// limitUnacked does nothing where the kernel has no such limit.
func limitUnacked(_, _ string, _ syscall.RawConn) error { return nil }
