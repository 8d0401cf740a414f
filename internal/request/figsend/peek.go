package figsend

import (
	"net"
	"syscall"
)

// peekState is what a look at a connection's receive queue shows.
type peekState uint8

const (
	// peekQuiet means open with nothing to read.
	peekQuiet peekState = iota
	// peekData means that unread bytes wait.
	peekData
	// peekClosed means that the other side closed it or that it broke.
	peekClosed
)

// peek looks at the receive queue of c without taking bytes from it and without
// waiting. A connection that gives no access to its socket counts as quiet.
func peek(c net.Conn) peekState {
	s, ok := c.(syscall.Conn)
	if !ok {
		return peekQuiet
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return peekClosed
	}
	state := peekQuiet
	// Control, not Read: Read would wait until the socket is readable.
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, failed := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case failed == syscall.EAGAIN || failed == syscall.EINTR:
		case failed != nil || n == 0:
			state = peekClosed
		default:
			state = peekData
		}
	})
	if err != nil {
		return peekClosed
	}
	return state
}
