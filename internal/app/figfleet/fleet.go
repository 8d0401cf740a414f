// Package figfleet runs a small fleet in one process on the loopback interface: emulators
// of the platform, model engines and plain services, and real instances that communicate
// with each other. The demo, the load benchmarks and end-to-end tests use it.
//
// # Usage
//
//	f, err := figfleet.Start(ctx, figfleet.Plan{
//		DataCentres: []string{"ost", "west"},
//		Documents:   map[string]string{"base": declarations},
//		Engines:     []figfleet.EnginePlan{{Pool: "language", Prefill: 2, Decode: 3, Options: options}},
//		Plains:      []figfleet.PlainPlan{{Pool: "ledger", Count: 1}},
//		Instances:   3,
//	})
//	defer f.Close()
//	addresses := f.Callers()
//
// Servers and instances are assigned to the data centres in turn (round-robin). Start
// returns when every instance is ready.
package figfleet

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"figtrail.dev/figtrail/internal/app/figserve"
	"figtrail.dev/figtrail/internal/core/figerror"
	"figtrail.dev/figtrail/internal/core/figtimer"
	"figtrail.dev/figtrail/internal/stand/figemulator"
)

const (
	// readyTimeout is the timeout until all instances are ready.
	readyTimeout = 15 * time.Second
	// readyInterval is the interval between readiness checks.
	readyInterval = 20 * time.Millisecond
	// anyAddress is a loopback address with a free port that the system chooses.
	anyAddress = "127.0.0.1:0"
)

// Plan describes a fleet.
type Plan struct {
	// DataCentres holds the names of the data centres.
	DataCentres []string
	// Documents holds the published declarations by path. Dir is a directory of further
	// declarations; empty if there is none.
	Documents map[string]string
	Dir       string
	// Engines and Plains describe the pools of backend servers.
	Engines []EnginePlan
	Plains  []PlainPlan
	// Instances is the number of instances.
	Instances int
	// Settings changes the settings of each instance before it is created. If it is nil,
	// the settings aren't changed.
	Settings func(*figserve.Settings)
}

// EnginePlan describes a pool of model engines.
type EnginePlan struct {
	// Pool is the ID of the pool.
	Pool string
	// Prefill and Decode are the numbers of servers of each role.
	Prefill, Decode int
	// Options holds the options of all servers. Name and Role are overwritten.
	Options figemulator.EngineOptions
}

// PlainPlan describes a pool of plain servers.
type PlainPlan struct {
	// Pool is the ID of the pool.
	Pool string
	// Count is the number of servers.
	Count int
	// Options holds the options of all servers. Name is overwritten.
	Options figemulator.PlainOptions
}

// Fleet is a running fleet. Create it with Start and stop it with Close.
type Fleet struct {
	// Platform publishes the declarations and the lists of servers and instances.
	Platform *figemulator.Platform
	// Engines and Plains are the backend servers, in the order of the plan.
	Engines []*figemulator.Engine
	Plains  []*figemulator.PlainService
	// Instances are the running instances.
	Instances []*figserve.Instance

	plan   Plan
	timer  *figtimer.Timer
	ctx    context.Context
	cancel context.CancelFunc
	ended  []chan error
	// listed is the number of published backend servers.
	listed int
}

// Start starts the emulators and the instances, and waits until every instance is ready.
// If it fails, it stops what it has started.
func Start(ctx context.Context, p Plan) (*Fleet, error) {
	f := &Fleet{plan: p, timer: figtimer.New(figtimer.System())}
	f.ctx, f.cancel = context.WithCancel(ctx)
	for _, step := range []func() error{f.startPlatform, f.startEngines, f.startPlains, f.startInstances, f.waitReady} {
		if err := step(); err != nil {
			return nil, errors.CombineErrors(err, f.Close())
		}
	}
	return f, nil
}

func (f *Fleet) startPlatform() error {
	var err error
	if f.Platform, err = figemulator.StartPlatform(figemulator.PlatformOptions{}); err != nil {
		return err
	}
	for path, text := range f.plan.Documents {
		f.Platform.Publish(path, text)
	}
	if f.plan.Dir == "" {
		return nil
	}
	_, err = f.Platform.PublishDir(f.plan.Dir)
	return err
}

func (f *Fleet) startEngines() error {
	for _, p := range f.plan.Engines {
		for n := range p.Prefill + p.Decode {
			o := p.Options
			o.Role = "prefill"
			if n >= p.Prefill {
				o.Role = "decode"
			}
			o.Name = fmt.Sprintf("%s-%s-%d", p.Pool, o.Role, n)
			e, err := figemulator.StartEngine(o)
			if err != nil {
				return err
			}
			f.Engines = append(f.Engines, e)
			f.publishServer(o.Name, e.Address(), p.Pool, o.Role)
		}
	}
	return nil
}

func (f *Fleet) startPlains() error {
	for _, p := range f.plan.Plains {
		for n := range p.Count {
			o := p.Options
			o.Name = fmt.Sprintf("%s-%d", p.Pool, n)
			s, err := figemulator.StartPlainService(o)
			if err != nil {
				return err
			}
			f.Plains = append(f.Plains, s)
			f.publishServer(o.Name, s.Address(), p.Pool, "plain")
		}
	}
	return nil
}

// publishServer publishes a backend server in the next data centre.
func (f *Fleet) publishServer(name, address, pool, role string) {
	f.Platform.SetServer(figemulator.ServerRow{
		Name:       name,
		Address:    address,
		DataCentre: f.plan.DataCentres[f.listed%len(f.plan.DataCentres)],
		Pool:       pool,
		Role:       role,
		State:      "live",
		StartedAt:  f.timer.Now().Format(time.RFC3339Nano),
	})
	f.listed++
}

func (f *Fleet) startInstances() error {
	for n := range f.plan.Instances {
		s := figserve.Defaults()
		s.Name = fmt.Sprintf("instance-%d", n+1)
		s.DataCentre = f.plan.DataCentres[n%len(f.plan.DataCentres)]
		s.Listen, s.PeerListen, s.AdminListen = anyAddress, anyAddress, anyAddress
		s.Platform = f.Platform.Address()
		if f.plan.Settings != nil {
			f.plan.Settings(&s)
		}
		i, err := figserve.New(s)
		if err != nil {
			return err
		}
		f.Instances = append(f.Instances, i)
		f.PublishInstance(i, "live")
		done := make(chan error, 1)
		f.ended = append(f.ended, done)
		go func() { done <- i.Run(f.ctx) }()
	}
	return nil
}

// PublishInstance publishes an instance with its state: live, leaving or gone.
func (f *Fleet) PublishInstance(i *figserve.Instance, state string) {
	f.Platform.SetInstance(figemulator.InstanceRow{
		Name:       i.Name,
		Address:    i.PeerAddress(),
		DataCentre: i.DataCentre,
		State:      state,
	})
}

func (f *Fleet) waitReady() error {
	ctx, cancel := context.WithTimeout(f.ctx, readyTimeout)
	defer cancel()
	for _, i := range f.Instances {
		for !isReady(ctx, i.AdminAddress()) {
			if f.timer.Sleep(ctx, readyInterval) != nil {
				return figerror.New("start", i.Name, "the instance was not ready in time")
			}
		}
	}
	return nil
}

func isReady(ctx context.Context, admin string) bool {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+"/readyz", http.NoBody)
	if err != nil {
		return false
	}
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		return false
	}
	_ = a.Body.Close()
	return a.StatusCode == http.StatusOK
}

// Callers returns the addresses of the instances' listeners for callers.
func (f *Fleet) Callers() []string {
	all := make([]string, 0, len(f.Instances))
	for _, i := range f.Instances {
		all = append(all, i.CallerAddress())
	}
	return all
}

// ReservedPieces returns the number of pieces of memory that are reserved on all engines.
func (f *Fleet) ReservedPieces() int {
	reserved := 0
	for _, e := range f.Engines {
		reserved += e.ReservedPieces()
	}
	return reserved
}

// ReceivedText reports whether a backend server received text in a header or a path.
func (f *Fleet) ReceivedText(text string) bool {
	for _, e := range f.Engines {
		if e.ReceivedText(text) {
			return true
		}
	}
	for _, p := range f.Plains {
		if p.ReceivedText(text) {
			return true
		}
	}
	return false
}

// PlainRuns returns how many times the plain servers ran a call with this body.
func (f *Fleet) PlainRuns(body string) int {
	runs := 0
	for _, p := range f.Plains {
		runs += p.Run(body).Calls
	}
	return runs
}

// Close stops the instances and then the emulators. It returns the first error that an
// instance's Run returned.
func (f *Fleet) Close() error {
	f.cancel()
	var first error
	for _, done := range f.ended {
		if err := <-done; err != nil && first == nil {
			first = err
		}
	}
	for _, e := range f.Engines {
		_ = e.Close()
	}
	for _, p := range f.Plains {
		_ = p.Close()
	}
	if f.Platform != nil {
		_ = f.Platform.Close()
	}
	return first
}
