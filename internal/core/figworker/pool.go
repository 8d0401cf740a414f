// Package figworker runs short tasks on a bounded number of goroutines. It wraps an ants pool in
// non-blocking mode: a full pool rejects a task immediately, so that the rejection reaches the
// caller and no unbounded queue forms.
//
// # Usage
//
//	p, err := figworker.New(5000)
//	if !p.Go(func() { … }) {
//		// full: refuse
//	}
//	defer p.Close()
//
// A panic in a task is logged to klog with its stack and ends only that task. A task must release
// its resources in deferred calls, which also run on a panic.
package figworker

import (
	"runtime/debug"

	"github.com/panjf2000/ants/v2"
	"k8s.io/klog/v2"

	"figtrail.dev/figtrail/internal/core/figerror"
)

// Pool runs tasks on a bounded number of goroutines. It is safe for concurrent use.
type Pool struct {
	pool *ants.Pool
}

// New returns a pool for at most size concurrent tasks.
func New(size int) (*Pool, error) {
	p, err := ants.NewPool(size, ants.WithNonblocking(true), ants.WithPanicHandler(logPanic))
	if err != nil {
		return nil, figerror.Wrap(err, "make worker pool", "")
	}
	return &Pool{pool: p}, nil
}

// Go runs f on a goroutine of the pool. It returns false without running f if the pool is full or
// closed.
func (p *Pool) Go(f func()) bool { return p.pool.Submit(f) == nil }

// Running returns the number of busy goroutines.
func (p *Pool) Running() int { return p.pool.Running() }

// Close makes the pool reject new tasks. Running tasks continue to their end; Close does not wait
// for them.
func (p *Pool) Close() { p.pool.Release() }

func logPanic(v any) {
	klog.ErrorS(nil, "task in worker pool panicked", "panic", v, "stack", string(debug.Stack()))
}
