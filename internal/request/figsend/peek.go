package figsend

import (
	"errors"
	"net"
	"syscall"
)

// peekState is the state of a connection and its receive queue.
type peekState uint8

const (
	// peekNoData means that the connection is open and has nothing to read.
	peekNoData peekState = iota
	// peekData means that unread bytes are waiting.
	peekData
	// peekClosed means that the peer has closed the connection or that it is broken.
	peekClosed
)

// HasUnread reports whether bytes that the peer has sent wait to be read from c, and the peer hasn't closed it.
func HasUnread(c net.Conn) bool { return peek(c) == peekData }

// peek returns the state of c without consuming data or blocking. It returns peekNoData for a connection whose socket
// isn't accessible.
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
	// Control, because Read would wait until the socket is readable. If the connection is closed, Control doesn't call
	// the function and state stays peekClosed.
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
