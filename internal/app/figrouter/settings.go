package figrouter

import (
	"context"
	"strings"
	"time"

	"figtrail.dev/figtrail/internal/config/figcatalogue"
	"figtrail.dev/figtrail/internal/core/figerror"
	"figtrail.dev/figtrail/internal/core/fignet"
	"figtrail.dev/figtrail/internal/fleet/figview"
	"figtrail.dev/figtrail/internal/limit/figmemory"
	"figtrail.dev/figtrail/internal/request/figproxy"
	"figtrail.dev/figtrail/internal/request/figsend"
)

// Settings holds the settings of the process. Each is a flag and an environment variable
// of the same name. They are logged at startup as JSON under their Go field names.
type Settings struct {
	// Name is the instance's name, DataCentre the name of its data centre.
	Name, DataCentre string
	// Listen is the listen address for callers, PeerListen for other instances,
	// ReadyListen for the load balancer's health check, and AdminListen for operators;
	// each in the form host:port.
	Listen, PeerListen, ReadyListen, AdminListen string
	// PeerAdvertise is the address at which other instances reach this one, in the form host:port; empty if
	// it is the one it listens on.
	PeerAdvertise string
	// ReadyPath is the path of the load balancer's health check.
	ReadyPath string
	// Source is the address of the platform's configuration service, in the form host:port.
	Source string
	// SeedsFile is the path of the file with the addresses of other instances; empty if
	// there is none.
	SeedsFile string
	// Starting is true when the whole system starts for the first time.
	Starting bool
	// Instances is the number of instances to assume until the instances have discovered
	// each other.
	Instances int
	// MemoryMB is the memory available to the process, in MB.
	MemoryMB int
	// Descriptors is the number of file descriptors that the process may open.
	Descriptors int
	// HeldPercent is the part of the memory, in percent, for what callers and servers make the process hold.
	HeldPercent int
	// StallTime is the time without progress after which what a caller holds may be taken back if others need it.
	StallTime time.Duration
	// RetryFraction and RetryFloor limit the retries of all instances together in ten
	// seconds: RetryFraction as a fraction of the requests, RetryFloor as the number that
	// is always allowed.
	RetryFraction float64
	RetryFloor    int
	// RateWindow, RateOverage and RateSlack say how far a client account may exceed its
	// rate and burst in any window of length RateWindow: by the fraction RateOverage of
	// the amount that rate and burst allow in it, plus RateSlack in the unit of the rate.
	// A RateWindow of 0 tolerates no excess.
	RateWindow             time.Duration
	RateOverage, RateSlack float64
	// Grace is the time from SIGTERM until the platform kills the process.
	Grace time.Duration
	// DrainNotice is the part of Grace during which the instance still accepts callers,
	// so that the load balancer can see that it isn't ready.
	DrainNotice time.Duration
	// MetricAccounts is the maximum number of client accounts with their own histograms.
	MetricAccounts int
	// LogLines is the maximum number of buffered log lines; further lines are dropped.
	LogLines int
	// Verbosity is the log level: 0 logs least.
	Verbosity int
}

// Adapter holds the functions that are specific to a platform.
type Adapter struct {
	// Source returns a client of the platform's configuration service at an address.
	Source func(address string) figcatalogue.Source
	// Dialect translates requests and answers between figtrail and the platform.
	Dialect *figproxy.Dialect
	// IsRefusal reports whether the server states in its answer that it did not run the
	// request.
	IsRefusal func(a *figsend.Answer) bool
	// SendOrder orders a model engine to take a role. holder is the name of the instance that
	// sends the order.
	SendOrder func(ctx context.Context, sender *figsend.Sender, holder string, s *figcatalogue.Server, role figview.Role, fence uint64) error
	// ReadSeeds reads the addresses of other instances from a file.
	ReadSeeds func(path string) ([]string, error)
}

// Defaults returns the default settings. Name, DataCentre and Source have none.
func Defaults() Settings {
	return Settings{
		Listen:         "127.0.0.1:8080",
		PeerListen:     "127.0.0.1:8081",
		ReadyListen:    "127.0.0.1:8083",
		AdminListen:    "127.0.0.1:8082",
		ReadyPath:      "/readyz",
		Instances:      9, // the number of instances in the larger data centre
		MemoryMB:       256,
		Descriptors:    4096,
		HeldPercent:    36, // 8 bodies of 4 MiB at once at 134 MB, one at 64 MB; the heap stays below 70
		StallTime:      figmemory.DefaultStallTime,
		RetryFraction:  0.1,
		RetryFloor:     10,
		Grace:          30 * time.Second,
		DrainNotice:    3 * time.Second,
		MetricAccounts: 50,
		LogLines:       4096,
	}
}

const (
	// minMemoryMB is the least memory in which the router runs: an idle router with a
	// large configuration needs 40 MB, and the requests need about as much.
	minMemoryMB = 64
	// minDescriptors suffices for a few hundred callers and their servers.
	minDescriptors = 512
	// minHeldPercent suffices for a body of 1/16 of the memory, maxHeldPercent leaves room for the configuration.
	minHeldPercent, maxHeldPercent = 10, 50
)

// Check returns one error for each invalid setting, or nil if all are valid.
func (s Settings) Check() []error {
	var faults []error
	add := func(ok bool, name, message string) {
		if !ok {
			faults = append(faults, figerror.New("check settings", "", "--"+name+" "+message))
		}
	}
	add(s.Name != "" && !strings.ContainsAny(s.Name, " \t\n/"), "name", "must be given, without spaces or slashes")
	add(s.DataCentre != "", "data-centre", "must be given")
	add(fignet.IsAddress(s.Listen), "listen", "must be host:port")
	add(fignet.IsAddress(s.PeerListen), "peer-listen", "must be host:port")
	add(s.PeerAdvertise == "" || fignet.IsAddress(s.PeerAdvertise), "peer-advertise", "must be host:port")
	add(fignet.IsAddress(s.ReadyListen), "ready-listen", "must be host:port")
	add(fignet.IsAddress(s.AdminListen), "admin-listen", "must be host:port")
	add(strings.HasPrefix(s.ReadyPath, "/"), "ready-path", "must begin with a slash")
	add(fignet.IsAddress(s.Source), "source", "must be given as host:port")
	add(s.Instances > 0, "instances", "must be above 0")
	add(s.MemoryMB >= minMemoryMB, "memory-mb", "must be at least 64")
	add(s.Descriptors >= minDescriptors, "descriptors", "must be at least 512")
	add(s.HeldPercent >= minHeldPercent && s.HeldPercent <= maxHeldPercent, "held-percent", "must be from 10 to 50")
	add(s.StallTime > 0, "stall-time", "must be above 0")
	add(s.RetryFraction >= 0 && s.RetryFraction <= 1, "retry-fraction", "must be from 0 to 1")
	add(s.RetryFloor >= 0, "retry-floor", "must not be negative")
	add(s.RateWindow >= 0, "rate-window", "must not be negative")
	add(s.RateOverage >= 0, "rate-overage", "must not be negative")
	add(s.RateSlack >= 0, "rate-slack", "must not be negative")
	add(s.Grace > 0, "grace", "must be above 0")
	add(s.DrainNotice >= 0 && s.DrainNotice < s.Grace, "drain-notice", "must be from 0 to below --grace")
	add(s.MetricAccounts >= 0, "metric-accounts", "must not be negative")
	add(s.LogLines > 0, "log-lines", "must be above 0")
	add(s.Verbosity >= 0, "verbosity", "must not be negative")
	return faults
}
