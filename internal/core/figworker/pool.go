// Package figworker runs short-lived work on a bounded number of goroutines. It
// is ants in its non-blocking form: a full pool refuses at once, so that the
// refusal reaches the caller and nothing queues without a bound.
//
// # Usage
//
//	p, err := figworker.New(5000)
//	if !p.Go(func() { … }) {
//		// full: refuse
//	}
//	defer p.Close()
//
// A panic in the work is reported to klog with its stack and ends that work
// only. Work that holds something releases it in a deferred call, which also
// runs on a panic.
package figworker

import (
	"runtime/debug"

	"github.com/panjf2000/ants/v2"
	"k8s.io/klog/v2"

	"figtrail.dev/figtrail/internal/core/figerror"
)

// Pool runs work on at most its size of goroutines.
type Pool struct {
	pool *ants.Pool
}

// New returns a pool for at most size pieces of work at once.
func New(size int) (*Pool, error) {
	p, err := ants.NewPool(size, ants.WithNonblocking(true), ants.WithPanicHandler(logPanic))
	if err != nil {
		return nil, figerror.Wrap(err, "make worker pool", "")
	}
	return &Pool{pool: p}, nil
}

// Go runs f. It returns false, without running it, if the pool is full or closed.
func (p *Pool) Go(f func()) bool { return p.pool.Submit(f) == nil }

// Running returns the number of goroutines at work.
func (p *Pool) Running() int { return p.pool.Running() }

// Close refuses further work. Work that runs goes on to its end.
func (p *Pool) Close() { p.pool.Release() }

func logPanic(v any) {
	klog.ErrorS(nil, "work panicked", "panic", v, "stack", string(debug.Stack()))
}
