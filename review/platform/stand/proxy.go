package stand

import (
	"io"
	"net"
	"sync"
)

// Proxy passes channels on to an address.
type Proxy struct {
	listener net.Listener
	to       string

	mu   sync.Mutex
	open map[*proxied]bool
}

// proxied is one channel through a proxy.
type proxied struct {
	caller, server net.Conn

	mu     sync.Mutex
	silent bool
}

// NewProxy listens at an address and passes all channels on.
func NewProxy(at, to string) (*Proxy, error) {
	l, err := net.Listen("tcp", at)
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, to: to, open: map[*proxied]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.pass(c)
		}
	}()
	return p, nil
}

// Address returns the address at which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Silence makes all open channels silent for good: nothing passes any more either way, and nothing closes them. New
// channels work.
func (p *Proxy) Silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for x := range p.open {
		x.mu.Lock()
		x.silent = true
		x.mu.Unlock()
	}
}

// Close closes the listener and all channels.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for x := range p.open {
		_ = x.caller.Close()
		_ = x.server.Close()
	}
}

func (p *Proxy) pass(c net.Conn) {
	s, err := net.Dial("tcp", p.to)
	if err != nil {
		_ = c.Close()
		return
	}
	x := &proxied{caller: c, server: s}
	p.mu.Lock()
	p.open[x] = true
	p.mu.Unlock()
	var group sync.WaitGroup
	group.Go(func() { x.copy(s, c) })
	group.Go(func() { x.copy(c, s) })
	group.Wait()
	p.mu.Lock()
	delete(p.open, x)
	p.mu.Unlock()
	_ = c.Close()
	_ = s.Close()
}

// copy passes bytes one way until the channel ends. It drops those of a silent channel, and its end.
func (x *proxied) copy(to, from net.Conn) {
	_, err := io.Copy(writer{x, to}, from)
	x.mu.Lock()
	silent := x.silent
	x.mu.Unlock()
	if err != nil || silent {
		return
	}
	if w, ok := to.(*net.TCPConn); ok {
		_ = w.CloseWrite()
	}
}

// writer writes to one end of a channel unless it is silent.
type writer struct {
	x  *proxied
	to net.Conn
}

// Write writes the bytes, or drops them.
func (w writer) Write(p []byte) (int, error) {
	w.x.mu.Lock()
	silent := w.x.silent
	w.x.mu.Unlock()
	if silent {
		return len(p), nil
	}
	return w.to.Write(p)
}
