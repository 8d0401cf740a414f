package figsend

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// limitUnacked makes the kernel end a connection whose bytes stay unacknowledged.
func limitUnacked(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		limit := int(unackedLimit.Milliseconds())
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, limit)
	})
	if err != nil {
		return err
	}
	return failed
}
