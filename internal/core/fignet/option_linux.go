package fignet

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// setUnackedTimeout returns a dialer control function that sets TCP_USER_TIMEOUT: the kernel
// closes the connection when sent bytes stay unacknowledged for longer than limit.
func setUnackedTimeout(limit time.Duration) func(string, string, syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return failed
	}
}
