package figemulator

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Direction is a direction of traffic through a relay.
type Direction int

const (
	// ToServer is traffic from the client to the target.
	ToServer Direction = iota
	// ToClient is traffic from the target to the client.
	ToClient
)

const (
	// relayBuffer is the read buffer size in bytes.
	relayBuffer = 32 << 10
	// keepAliveTime is the time after which one end notices that the other end of a silent connection is gone.
	keepAliveTime = 5 * time.Second
)

// Relay forwards TCP connections to a target. It can emulate packet loss, in which
// connections stay open but deliver nothing. It is safe for concurrent use.
type Relay struct {
	listener net.Listener

	mu        sync.Mutex
	target    string
	drops     [2]bool
	refuse    bool
	dropsFrom func(client net.Addr) bool
	conns     map[*relayedConn]struct{}
	forwarded [2]int64
}

// relayedConn is one relayed connection. server is nil until the target has been dialled.
type relayedConn struct {
	client, server net.Conn
	// silent is true, by direction, once bytes were dropped; it is never reset.
	silent [2]bool
}

// StartRelay starts a relay to the address target.
func StartRelay(target string) (*Relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	r := &Relay{listener: l, target: target, conns: map[*relayedConn]struct{}{}}
	go r.accept()
	return r, nil
}

// Address returns the host and port that the relay listens on.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Close ends the relay and all its connections.
func (r *Relay) Close() error {
	err := r.listener.Close()
	r.Cut()
	return err
}

// SetTarget sets the target of new connections.
func (r *Relay) SetTarget(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = target
}

// DropTraffic drops all bytes in one direction, on open and new connections, while on.
// A connection that has lost bytes delivers nothing more in that direction, since
// TCP never delivers a stream with a gap.
func (r *Relay) DropTraffic(d Direction, on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drops[d] = on
}

// DropFrom drops all bytes in both directions of the open and new connections of the clients for which drops
// returns true at that moment; nil for none.
func (r *Relay) DropFrom(drops func(client net.Addr) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropsFrom = drops
}

// Partition drops the traffic in both directions while on.
func (r *Relay) Partition(on bool) {
	r.DropTraffic(ToServer, on)
	r.DropTraffic(ToClient, on)
}

// DropOpenConnections permanently drops all traffic of the open connections. New connections work.
func (r *Relay) DropOpenConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for k := range r.conns {
		k.silent = [2]bool{true, true}
	}
}

// Refuse closes new connections immediately while on.
func (r *Relay) Refuse(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refuse = on
}

// Cut closes the open connections on both sides.
func (r *Relay) Cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for k := range r.conns {
		_ = k.client.Close()
		if k.server != nil {
			_ = k.server.Close()
		}
	}
}

// Open returns the number of open connections.
func (r *Relay) Open() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.conns)
}

// Forwarded returns the number of bytes forwarded in a direction.
func (r *Relay) Forwarded(d Direction) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.forwarded[d]
}

func (r *Relay) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.relay(c)
	}
}

// relay dials the target and forwards until either side closes.
func (r *Relay) relay(client net.Conn) {
	r.mu.Lock()
	target, refuse := r.target, r.refuse
	k := &relayedConn{client: client}
	r.conns[k] = struct{}{}
	r.mu.Unlock()
	defer r.removeConn(k)
	if refuse {
		return
	}
	server, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	r.mu.Lock()
	k.server = server
	r.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { r.forward(k, ToServer, client, server) })
	both.Go(func() { r.forward(k, ToClient, server, client) })
	both.Wait()
}

func (r *Relay) removeConn(k *relayedConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, k)
	_ = k.client.Close()
}

// forward copies the bytes of one direction until reading or writing fails, and closes from. When
// reading ends it also closes to. A partition loses the close of a connection as well, so that a silent
// direction is closed only after keepAliveTime.
func (r *Relay) forward(k *relayedConn, d Direction, from, to net.Conn) {
	defer func() { _ = from.Close() }()
	buffer := make([]byte, relayBuffer)
	for {
		n, err := from.Read(buffer)
		if n > 0 && r.allows(k, d, n) {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if r.allows(k, d, 0) {
				_ = to.Close()
			} else {
				time.AfterFunc(keepAliveTime, func() { _ = to.Close() })
			}
			return
		}
	}
}

// allows reports whether n bytes may be forwarded, and counts them if so. A direction that drops bytes stays silent.
func (r *Relay) allows(k *relayedConn, d Direction, n int) bool {
	r.mu.Lock()
	dropsFrom := r.dropsFrom
	r.mu.Unlock()
	dropped := dropsFrom != nil && dropsFrom(k.client.RemoteAddr())
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.drops[d] || dropped {
		k.silent[d] = true
	}
	if k.silent[d] {
		return false
	}
	r.forwarded[d] += int64(n)
	return true
}
