package figemulator

import (
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// Direction is one of the two ways through a relay.
type Direction int

const (
	// ToServer is from the side that dialled to the target.
	ToServer Direction = iota
	// ToClient is from the target to the side that dialled.
	ToClient
)

// relayBuffer is the size of one read, in bytes.
const relayBuffer = 32 << 10

// Relay forwards TCP connections to a target and can lose bytes as a network
// does: connections stay open and say nothing. It is safe for concurrent use.
type Relay struct {
	listener net.Listener

	mu        sync.Mutex
	target    string
	swallow   [2]bool
	refuse    bool
	links     map[*link]struct{}
	forwarded [2]int64
}

// link is one relayed connection.
type link struct {
	near, far net.Conn
	// silent directions have been lost track of, for good.
	silent [2]bool
}

// StartRelay starts a relay to the address target.
func StartRelay(target string) (*Relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	r := &Relay{listener: l, target: target, links: map[*link]struct{}{}}
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

// SetTarget sends connections made from now on to another address.
func (r *Relay) SetTarget(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = target
}

// Swallow loses all bytes in one direction, on old and new connections, until
// it is switched off. A connection that has lost bytes stays silent in that
// direction, as a stream with a gap would be no TCP.
func (r *Relay) Swallow(d Direction, on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.swallow[d] = on
}

// Partition swallows or passes both directions.
func (r *Relay) Partition(on bool) {
	r.Swallow(ToServer, on)
	r.Swallow(ToClient, on)
}

// Silence makes the open connections silent for good. New ones work.
func (r *Relay) Silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for k := range r.links {
		k.silent = [2]bool{true, true}
	}
}

// Refuse closes new connections at once.
func (r *Relay) Refuse(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refuse = on
}

// Cut closes the open connections on both sides.
func (r *Relay) Cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for k := range r.links {
		_ = k.near.Close()
		if k.far != nil {
			_ = k.far.Close()
		}
	}
}

// Open returns the number of open connections.
func (r *Relay) Open() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.links)
}

// Forwarded returns the bytes that were passed on in a direction.
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
		go r.join(c)
	}
}

// join dials the target and forwards until either side closes.
func (r *Relay) join(near net.Conn) {
	r.mu.Lock()
	target, refuse := r.target, r.refuse
	k := &link{near: near}
	r.links[k] = struct{}{}
	r.mu.Unlock()
	defer r.drop(k)
	if refuse {
		return
	}
	far, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	r.mu.Lock()
	k.far = far
	r.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { r.forward(k, ToServer, near, far) })
	both.Go(func() { r.forward(k, ToClient, far, near) })
	both.Wait()
}

func (r *Relay) drop(k *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.links, k)
	_ = k.near.Close()
}

// forward copies one direction until it ends, and passes the end on. A network
// that loses bytes loses the end of a connection as well.
func (r *Relay) forward(k *link, d Direction, from, to net.Conn) {
	defer func() { _ = from.Close() }()
	buffer := make([]byte, relayBuffer)
	for {
		n, err := from.Read(buffer)
		if n > 0 && r.passes(k, d, n) {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if r.passes(k, d, 0) {
				_ = to.Close()
			}
			return
		}
	}
}

// passes decides on n bytes. A direction that lost bytes is silent from then on.
func (r *Relay) passes(k *link, d Direction, n int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.swallow[d] {
		k.silent[d] = true
	}
	if k.silent[d] {
		return false
	}
	r.forwarded[d] += int64(n)
	return true
}
