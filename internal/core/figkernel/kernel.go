// Package figkernel starts and stops the services of an instance. Services register under unique
// names and look each other up by name; they start in the order of registration and stop in
// reverse order, under one context.
//
// # Usage
//
//	k := figkernel.New()
//	k.Register(figkernel.Service{Name: "config", Value: store, Run: store.Run})
//	k.Register(figkernel.Service{Name: "budget", Value: ledger, Start: ledger.Start, Stop: ledger.Close})
//	err := k.Run(ctx) // returns when ctx ends or a service fails
//
// A service looks up its dependencies in Start, when all services registered before it have
// started:
//
//	store, err := figkernel.Lookup[*figstore.Store](k, "config")
//
// Each Run function has its own goroutine. The first one that returns an error ends the context of
// all services; Stop is then called on every started service in reverse order.
package figkernel

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"figtrail.dev/figtrail/internal/core/figerror"
)

// stopTimeout is the timeout of one service's Stop.
const stopTimeout = 10 * time.Second

// Service describes one service of an instance. All function fields may be nil.
type Service struct {
	// Name is unique in a kernel.
	Name string
	// Value is what Lookup returns to the other services.
	Value any
	// Start prepares the service. After an error, no further service is started and the started ones
	// are stopped.
	Start func(ctx context.Context) error
	// Run does the continuous work of the service. It must return when ctx ends. A nil error before
	// that does not affect the other services.
	Run func(ctx context.Context) error
	// Stop releases the resources that Start acquired. The kernel's context has ended by then, so ctx
	// is a separate context with a timeout of 10 seconds.
	Stop func(ctx context.Context) error
}

// Kernel holds the services of one instance. Register and Lookup are safe for concurrent use.
type Kernel struct {
	mu       sync.RWMutex
	services []Service
	byName   map[string]any
}

// New returns a kernel without services.
func New() *Kernel { return &Kernel{byName: map[string]any{}} }

// Register adds a service. It returns an error if the name is empty or already registered. Run
// ignores services that are registered after its call.
func (k *Kernel) Register(s Service) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if s.Name == "" {
		return figerror.New("register", "", "service has no name")
	}
	if _, ok := k.byName[s.Name]; ok {
		return figerror.New("register", s.Name, "a service with this name is already registered")
	}
	k.byName[s.Name] = s.Value
	k.services = append(k.services, s)
	return nil
}

// Lookup returns the value of the service called name. It returns an error if no such service is
// registered or if its value is not a T.
func Lookup[T any](k *Kernel, name string) (T, error) {
	k.mu.RLock()
	defer k.mu.RUnlock()
	var zero T
	v, ok := k.byName[name]
	if !ok {
		return zero, figerror.New("lookup", name, "no such service")
	}
	t, ok := v.(T)
	if !ok {
		return zero, figerror.Newf("lookup", name, "service is a %T, not a %T", v, zero)
	}
	return t, nil
}

// Run starts all services, waits until ctx ends or a service's Run fails, and stops the started
// services. It returns the first error of Start or Run, combined with those of Stop; errors that
// Run functions return after ctx has ended are ignored.
func (k *Kernel) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	k.mu.RLock()
	services := append([]Service(nil), k.services...)
	k.mu.RUnlock()

	var running sync.WaitGroup
	failed := make(chan error, len(services))
	started := 0
	var err error
	for _, s := range services {
		if err = start(ctx, s); err != nil {
			break
		}
		started++
		if s.Run != nil {
			running.Go(func() { failed <- run(ctx, s) })
		}
	}
	if err == nil {
		err = wait(ctx, failed)
	}
	cancel()
	running.Wait()
	for i := started - 1; i >= 0; i-- {
		err = errors.CombineErrors(err, stop(services[i]))
	}
	return err
}

func start(ctx context.Context, s Service) error {
	if s.Start == nil {
		return nil
	}
	return figerror.Wrap(s.Start(ctx), "start", s.Name)
}

func run(ctx context.Context, s Service) error {
	err := s.Run(ctx)
	if ctx.Err() != nil {
		return nil
	}
	return figerror.Wrap(err, "run", s.Name)
}

func stop(s Service) error {
	if s.Stop == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	return figerror.Wrap(s.Stop(ctx), "stop", s.Name)
}

// wait returns nil when ctx ends, or the first error from failed.
func wait(ctx context.Context, failed <-chan error) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-failed:
			if err != nil {
				return err
			}
		}
	}
}
