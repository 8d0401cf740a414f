package figsend

import "syscall"

// tcpUserTimeout is the socket option TCP_USER_TIMEOUT, which the syscall
// package doesn't name.
const tcpUserTimeout = 18

// limitUnacked makes the kernel end a connection whose bytes stay unacknowledged.
func limitUnacked(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedLimit.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
