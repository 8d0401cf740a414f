package figsend

import (
	"errors"
	"net"
	"syscall"
)

// peekState is what a look at a connection's receive queue shows.
type peekState uint8

const (
	// peekNoData means open with nothing to read.
	peekNoData peekState = iota
	// peekData means that unread bytes wait.
	peekData
	// peekClosed means that the other side closed it or that it broke.
	peekClosed
)

// peek looks at the receive queue of c without taking bytes from it and without
// waiting. A connection that gives no access to its socket counts as quiet.
func peek(c net.Conn) peekState {
	if w, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = w.NetConn()
	}
	s, ok := c.(syscall.Conn)
	if !ok {
		return peekNoData
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return peekClosed
	}
	state := peekClosed
	// Control, not Read: Read would wait until the socket is readable. A closed
	// connection leaves the state as it is.
	_ = raw.Control(func(fd uintptr) { state = peekSocket(int(fd)) })
	return state
}

func peekSocket(fd int) peekState {
	var b [1]byte
	n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR):
		return peekNoData
	case err != nil || n == 0 || peerClosed(fd):
		return peekClosed
	default:
		return peekData
	}
}
