// Package figserve is one instance of figtrail: it makes the parts, joins them
// by their function fields, registers them as services of the kernel, and drains
// them in order at the end.
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
// New opens the three listeners, so that an instance that can't have its
// addresses says so before it starts anything.
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
	"figtrail.dev/figtrail/internal/limit/figqueue"
	"figtrail.dev/figtrail/internal/place/figowner"
	"figtrail.dev/figtrail/internal/place/figplace"
	"figtrail.dev/figtrail/internal/request/figpipeline"
	"figtrail.dev/figtrail/internal/request/figsend"
)

// Instance is one instance of figtrail.
type Instance struct {
	Settings

	// DroppedLines returns how many log lines were dropped. It may be set before Run.
	DroppedLines func() uint64

	// incarnation is the start time in nanoseconds, which grows with each start.
	incarnation uint64
	clock       figtimer.Clock
	timer       *figtimer.Timer
	kernel      *figkernel.Kernel
	callers     net.Listener
	peers       net.Listener
	operators   net.Listener

	handlers *figpeer.Handlers
	client   *figpeer.Client
	metrics  *figmetric.Metrics
	store    *figstore.Store
	member   *figmember.Membership
	budget   *figbudget.Budget
	sessions *figkey.RunningRequests
	owner    *figowner.Owner
	placer   *figplace.Placer
	sender   *figsend.Sender
	engine   figengine.Engine
	queues   *figqueue.Set
	workers  *figworker.Pool
	flow     *figpipeline.Pipeline
	watch    *figsend.CallerWatch
	front    *figfront.Front
	admin    *figadmin.Admin

	draining atomic.Bool
}

// New opens the addresses and joins the parts. Nothing runs yet.
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
	if err := i.listen(); err != nil {
		return nil, err
	}
	if err := i.join(); err != nil {
		i.closeListeners()
		return nil, err
	}
	if err := i.register(); err != nil {
		i.closeListeners()
		return nil, err
	}
	return i, nil
}

// CallerAddress returns the address that callers use.
func (i *Instance) CallerAddress() string { return i.callers.Addr().String() }

// PeerAddress returns the address that the other instances use.
func (i *Instance) PeerAddress() string { return i.peers.Addr().String() }

// AdminAddress returns the address that operators use.
func (i *Instance) AdminAddress() string { return i.operators.Addr().String() }

// Run serves until ctx ends or a part fails.
func (i *Instance) Run(ctx context.Context) error { return i.kernel.Run(ctx) }

// Ready returns nil when callers may be sent here, or the reason why not.
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
