package figcommand

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"k8s.io/klog/v2"
)

// processSignals receives the signals of a process that runs an instance.
type processSignals struct {
	terminate, interrupt, hangup chan os.Signal
}

// catchSignals begins to receive signals, which wait until handle is called. They stay caught
// until the process ends, because the default action of each would end it at once. SIGPIPE is
// ignored for that reason too: the process that reads the log may end first.
func catchSignals() *processSignals {
	s := &processSignals{
		terminate: make(chan os.Signal, 1),
		interrupt: make(chan os.Signal, 1),
		hangup:    make(chan os.Signal, 1),
	}
	signal.Notify(s.terminate, syscall.SIGTERM)
	signal.Notify(s.interrupt, syscall.SIGINT)
	signal.Notify(s.hangup, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
	return s
}

// handle acts on signals until ctx ends. The first SIGTERM or SIGINT calls drain and then stop.
// After it, a SIGINT calls stop at once, and a SIGTERM changes nothing. A SIGHUP calls reload.
func (s *processSignals) handle(ctx context.Context, drain func(context.Context), stop, reload func()) {
	go func() {
		for {
			select {
			case <-s.hangup:
				reload()
			case <-ctx.Done():
				return
			}
		}
	}()
	go func() {
		select {
		case <-s.terminate:
		case <-s.interrupt:
		case <-ctx.Done():
			return
		}
		go func() {
			drain(ctx)
			stop()
		}()
		for {
			select {
			case <-s.terminate:
				klog.InfoS("already draining; ignoring SIGTERM")
			case <-s.interrupt:
				klog.InfoS("interrupted while draining; stopping at once")
				stop()
			case <-ctx.Done():
				return
			}
		}
	}()
}
