package figsend

import (
	"golang.org/x/sys/unix"
)

// peerClosed reports whether the peer has closed its sending side of the socket, also while unread bytes are waiting.
func peerClosed(fd int) bool {
	p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(p, 0)
	return err == nil && n > 0
}
