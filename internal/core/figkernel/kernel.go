// Package figkernel is the micro-kernel of an instance. Services register under
// a name, find each other by that name, start in the order of registration and
// stop in reverse, under one context.
//
// # Usage
//
//	k := figkernel.New()
//	k.Register(figkernel.Service{Name: "config", Value: store, Run: store.Run})
//	k.Register(figkernel.Service{Name: "budget", Value: ledger, Start: ledger.Start, Stop: ledger.Close})
//	err := k.Run(ctx) // returns when ctx ends or a service fails
//
// A service looks up what it needs in Start, when all services before it have
// started:
//
//	store, err := figkernel.Lookup[*figstore.Store](k, "config")
//
// Each Run has a goroutine of its own. The first Run that returns an error ends
// all; Stop is then called on every started service, last one first.
package figkernel

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"figtrail.dev/figtrail/internal/core/figerror"
)

// stopTimeout bounds how long one service's Stop may take.
const stopTimeout = 10 * time.Second

// Service is one part of an instance. All function fields may be nil.
type Service struct {
	// Name is unique in a kernel.
	Name string
	// Value is what Lookup returns to the other services.
	Value any
	// Start prepares the service. An error ends the kernel's start.
	Start func(ctx context.Context) error
	// Run is the duty of the service. It ends when ctx ends.
	Run func(ctx context.Context) error
	// Stop releases what Start took. Its ctx has a deadline of its own.
	Stop func(ctx context.Context) error
}

// Kernel holds the services of one instance.
type Kernel struct {
	mu       sync.RWMutex
	services []Service
	byName   map[string]any
}

// New returns a kernel without services.
func New() *Kernel { return &Kernel{byName: map[string]any{}} }

// Register adds a service. It returns an error if the name is empty or taken.
func (k *Kernel) Register(s Service) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if s.Name == "" {
		return figerror.New("register", "", "service has no name")
	}
	if _, ok := k.byName[s.Name]; ok {
		return figerror.New("register", s.Name, "name is taken")
	}
	k.byName[s.Name] = s.Value
	k.services = append(k.services, s)
	return nil
}

// Lookup returns the value of the service called name. It returns an error if
// there is none or if the value is not a T.
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

// Run starts all services, waits until ctx ends or a duty fails, and stops them.
// It returns the first error that was not caused by ctx.
func (k *Kernel) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	k.mu.RLock()
	services := append([]Service(nil), k.services...)
	k.mu.RUnlock()

	var duties sync.WaitGroup
	failed := make(chan error, len(services))
	started := 0
	var err error
	for _, s := range services {
		if err = start(ctx, s); err != nil {
			break
		}
		started++
		if s.Run != nil {
			duties.Go(func() { failed <- run(ctx, s) })
		}
	}
	if err == nil {
		err = wait(ctx, failed)
	}
	cancel()
	duties.Wait()
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

// wait returns when ctx ends or a duty returns an error.
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
