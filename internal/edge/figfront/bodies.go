package figfront

import (
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

const (
	// smallBodyBytes is the length up to which an announced body needs no reservation.
	smallBodyBytes = 64 << 10
	// refusedBodyBytes is the limit for a body that finds no memory, so that the HTTP server reads none of it.
	refusedBodyBytes = 1
)

var errNoMemory = errors.New("the memory for requests is used up")

// announcedBodies reserves memory for bodies of an announced length, which the HTTP server allocates before they come.
type announcedBodies struct {
	hold func(bytes int64) (release func(), ok bool)

	mu sync.Mutex
	// held holds the functions that release the memory by the heads of the requests: the HTTP server passes nothing else
	// of a request before it reads the body.
	held map[*fasthttp.RequestHeader]func()
}

// reserve reserves memory for the body of a request whose head has been read.
func (b *announcedBodies) reserve(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	length := h.ContentLength()
	if b.hold == nil || length <= smallBodyBytes {
		return fasthttp.RequestConfig{}
	}
	release, ok := b.hold(int64(length))
	if !ok {
		return fasthttp.RequestConfig{MaxRequestBodySize: refusedBodyBytes}
	}
	b.mu.Lock()
	before := b.held[h] // of a connection that ended without an answer
	b.held[h] = release
	b.mu.Unlock()
	if before != nil {
		before()
	}
	return fasthttp.RequestConfig{}
}

// release releases the memory of a request that has been served or refused.
func (b *announcedBodies) release(h *fasthttp.RequestHeader) {
	b.mu.Lock()
	release := b.held[h]
	delete(b.held, h)
	b.mu.Unlock()
	if release != nil {
		release()
	}
}
