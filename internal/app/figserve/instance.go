// Package figserve runs one figtrail instance on a platform that publishes its
// configuration and the lists of instances and servers. It creates the components,
// connects them through their function fields, registers them as services of the kernel,
// and drains the instance at shutdown.
//
// # Usage
//
//	i, err := figserve.New(settings)
//	if err != nil {
//		return err
//	}
//	go func() { <-signals; i.Drain(ctx); cancel() }()
//	err = i.Run(ctx)
//
// New opens the three listeners, so that an address that is not available is reported
// before any service starts.
package figserve

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"figtrail.dev/figtrail/internal/config/figstore"
	"figtrail.dev/figtrail/internal/core/figerror"
	"figtrail.dev/figtrail/internal/core/figkernel"
	"figtrail.dev/figtrail/internal/core/fignet"
	"figtrail.dev/figtrail/internal/core/figtimer"
	"figtrail.dev/figtrail/internal/core/figworker"
	"figtrail.dev/figtrail/internal/edge/figadmin"
	"figtrail.dev/figtrail/internal/edge/figfront"
	"figtrail.dev/figtrail/internal/edge/figmetric"
	"figtrail.dev/figtrail/internal/engine/figengine"
	"figtrail.dev/figtrail/internal/fleet/figmember"
	"figtrail.dev/figtrail/internal/fleet/figpeer"
	"figtrail.dev/figtrail/internal/limit/figbudget"
	"figtrail.dev/figtrail/internal/limit/figkey"
	"figtrail.dev/figtrail/internal/limit/figmemory"
	"figtrail.dev/figtrail/internal/limit/figqueue"
	"figtrail.dev/figtrail/internal/place/figowner"
	"figtrail.dev/figtrail/internal/place/figplace"
	"figtrail.dev/figtrail/internal/request/figpipeline"
	"figtrail.dev/figtrail/internal/request/figsend"
)

// Instance is one instance of figtrail. Create it with New.
type Instance struct {
	Settings

	// DroppedLines returns the number of dropped log lines. It may be set before Run.
	DroppedLines func() uint64

	// incarnation is the start time in nanoseconds. It is higher after each restart.
	incarnation uint64
	clock       figtimer.Clock
	timer       *figtimer.Timer
	kernel      *figkernel.Kernel
	callers     net.Listener
	peers       net.Listener
	operators   net.Listener

	handlers    *figpeer.Handlers
	client      *figpeer.Client
	memory      *figmemory.Budget
	metrics     *figmetric.Metrics
	store       *figstore.Store
	member      *figmember.Membership
	budget      *figbudget.Budget
	running     *figkey.RunningRequests
	owner       *figowner.Owner
	placer      *figplace.Placer
	sender      *figsend.Sender
	engine      figengine.Engine
	queues      *figqueue.Set
	workers     *figworker.Pool
	pipeline    *figpipeline.Pipeline
	callerWatch *figsend.CallerWatch
	front       *figfront.Server
	admin       *figadmin.Admin

	draining atomic.Bool
}

// New opens the listeners and creates the components. It starts no service: Run does.
// If it fails, it closes the listeners that it opened.
func New(s Settings) (*Instance, error) {
	clock := figtimer.System()
	i := &Instance{
		Settings:     s,
		DroppedLines: func() uint64 { return 0 },
		incarnation:  uint64(time.Now().UnixNano()),
		clock:        clock,
		timer:        figtimer.New(clock),
		kernel:       figkernel.New(),
	}
	i.memory = i.newBudget()
	if err := i.listen(); err != nil {
		return nil, err
	}
	if err := i.connect(); err != nil {
		i.closeListeners()
		return nil, err
	}
	if err := i.register(); err != nil {
		i.closeListeners()
		return nil, err
	}
	return i, nil
}

// CallerAddress returns the address of the listener for callers.
func (i *Instance) CallerAddress() string { return i.callers.Addr().String() }

// PeerAddress returns the address of the listener for other instances.
func (i *Instance) PeerAddress() string { return i.peers.Addr().String() }

// AdminAddress returns the address of the listener for operators.
func (i *Instance) AdminAddress() string { return i.operators.Addr().String() }

// Run starts the services and serves until ctx ends or a service fails.
func (i *Instance) Run(ctx context.Context) error { return i.kernel.Run(ctx) }

// Ready returns nil if the instance accepts callers, and otherwise an error with the reason.
func (i *Instance) Ready() error {
	switch {
	case i.draining.Load():
		return errors.New("draining")
	case !i.store.Ready():
		return errors.New("the configuration is not in force yet")
	case i.store.Tree().DataCentreOutOfService(i.DataCentre):
		return errors.Newf("data centre %s is taken out", i.DataCentre)
	}
	return nil
}

func (i *Instance) listen() error {
	config := fignet.ListenConfig()
	for _, l := range []struct {
		name, address string
		into          *net.Listener
	}{
		{"callers", i.Listen, &i.callers},
		{"peers", i.PeerListen, &i.peers},
		{"operators", i.AdminListen, &i.operators},
	} {
		opened, err := config.Listen(context.Background(), "tcp", l.address)
		if err != nil {
			i.closeListeners()
			return figerror.Wrap(err, "listen for "+l.name, l.address)
		}
		*l.into = opened
	}
	return nil
}

func (i *Instance) closeListeners() {
	for _, l := range []net.Listener{i.callers, i.peers, i.operators} {
		if l != nil {
			_ = l.Close()
		}
	}
}
