package figsend

import (
	"golang.org/x/sys/unix"
)

// hungUp says that the other side has closed its half of a socket, also if
// unread bytes wait on it.
func hungUp(fd int) bool {
	p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(p, 0)
	return err == nil && n > 0
}
