package figdemo

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"figtrail.dev/figtrail/internal/app/figserve"
	"figtrail.dev/figtrail/internal/core/figerror"
	"figtrail.dev/figtrail/internal/core/figtimer"
	"figtrail.dev/figtrail/internal/stand/figstand"
)

const (
	// readyLimit bounds the wait until all instances are ready.
	readyLimit = 10 * time.Second
	// readyInterval is how often readiness is looked up.
	readyInterval = 20 * time.Millisecond
	// pieceTokens is the size of a piece of engine memory.
	pieceTokens = 2048
	// anyAddress lets the system choose a free port.
	anyAddress = "127.0.0.1:0"
)

// dataCentres are those of the demo, one instance in each.
var dataCentres = []string{"ost", "west", "nord"}

// fleet is everything that the demo runs.
type fleet struct {
	timer     *figtimer.Timer
	platform  *figstand.Platform
	engines   []*figstand.Engine
	ledger    *figstand.Plain
	instances []*figserve.Instance
	ended     []chan error
	cancel    context.CancelFunc
}

// startFleet starts the stand-ins and the instances, and waits until all are ready.
func startFleet(ctx context.Context, documents map[string]string) (*fleet, error) {
	ctx, cancel := context.WithCancel(ctx)
	f := &fleet{timer: figtimer.New(figtimer.System()), cancel: cancel}
	steps := []func(context.Context) error{
		func(context.Context) error { return f.startPlatform(documents) },
		func(context.Context) error { return f.startServers() },
		f.startInstances,
		f.waitReady,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return nil, errors.CombineErrors(err, f.close())
		}
	}
	return f, nil
}

func (f *fleet) startPlatform(documents map[string]string) error {
	var err error
	f.platform, err = figstand.StartPlatform(figstand.PlatformOptions{})
	if err != nil {
		return err
	}
	for path, text := range documents {
		f.platform.Publish(path, text)
	}
	return nil
}

func (f *fleet) startServers() error {
	for i, role := range []string{"prefill", "prefill", "decode", "decode", "decode"} {
		name := role + "-" + string(rune('a'+i))
		e, err := figstand.StartEngine(figstand.EngineOptions{
			Name:          name,
			Role:          role,
			Models:        []string{modelName},
			Pieces:        40,
			PieceTokens:   pieceTokens,
			Batch:         20,
			PrefillRate:   40_000,
			TokenInterval: 8 * time.Millisecond,
			ResultLife:    800 * time.Millisecond,
			ReportLag:     200 * time.Millisecond,
			ChecksFence:   true,
		})
		if err != nil {
			return err
		}
		f.engines = append(f.engines, e)
		f.list(name, e.Address(), dataCentres[i%len(dataCentres)], "language", role)
	}
	var err error
	f.ledger, err = figstand.StartPlain(figstand.PlainOptions{Name: "ledger-a", ServiceTime: 2 * time.Millisecond, Batch: 64})
	if err != nil {
		return err
	}
	f.list("ledger-a", f.ledger.Address(), dataCentres[0], "ledger", "plain")
	return nil
}

func (f *fleet) list(name, address, dataCentre, pool, role string) {
	f.platform.SetServer(figstand.ServerRow{
		Name:       name,
		Address:    address,
		DataCentre: dataCentre,
		Pool:       pool,
		Role:       role,
		State:      "live",
		StartedAt:  f.timer.Now().Format(time.RFC3339Nano),
	})
}

func (f *fleet) startInstances(ctx context.Context) error {
	for n, dc := range dataCentres {
		s := figserve.Defaults()
		s.Name = "instance-" + string(rune('1'+n))
		s.DataCentre = dc
		s.Listen, s.PeerListen, s.AdminListen = anyAddress, anyAddress, anyAddress
		s.Platform = f.platform.Address()
		i, err := figserve.New(s)
		if err != nil {
			return err
		}
		f.instances = append(f.instances, i)
		f.platform.SetInstance(figstand.InstanceRow{Name: s.Name, Address: i.PeerAddress(), DataCentre: dc, State: "live"})
		done := make(chan error, 1)
		f.ended = append(f.ended, done)
		go func() { done <- i.Run(ctx) }()
	}
	return nil
}

func (f *fleet) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	for _, i := range f.instances {
		for !isReady(i.AdminAddress()) {
			if f.timer.Sleep(ctx, readyInterval) != nil {
				return figerror.New("start", i.Name, "not ready in time")
			}
		}
	}
	return nil
}

func isReady(admin string) bool {
	code, _, err := fasthttp.GetTimeout(nil, "http://"+admin+"/readyz", time.Second)
	return err == nil && code == fasthttp.StatusOK
}

// callers returns the addresses for callers.
func (f *fleet) callers() []string {
	all := make([]string, 0, len(f.instances))
	for _, i := range f.instances {
		all = append(all, i.CallerAddress())
	}
	return all
}

// close ends the instances and then the stand-ins. It returns the first error
// that an instance ended with.
func (f *fleet) close() error {
	f.cancel()
	var first error
	for _, done := range f.ended {
		if err := <-done; err != nil && first == nil {
			first = err
		}
	}
	for _, e := range f.engines {
		_ = e.Close()
	}
	if f.ledger != nil {
		_ = f.ledger.Close()
	}
	if f.platform != nil {
		_ = f.platform.Close()
	}
	return first
}
