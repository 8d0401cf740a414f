package figsend

import (
	"golang.org/x/sys/unix"
)

// peerClosed says that the other side has closed its half of a socket, also if
// unread bytes wait on it.
func peerClosed(fd int) bool {
	p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(p, 0)
	return err == nil && n > 0
}
