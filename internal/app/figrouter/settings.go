package figrouter

import (
	"context"
	"strings"
	"time"

	"figtrail.dev/figtrail/internal/config/figcatalogue"
	"figtrail.dev/figtrail/internal/core/figerror"
	"figtrail.dev/figtrail/internal/core/fignet"
	"figtrail.dev/figtrail/internal/fleet/figview"
	"figtrail.dev/figtrail/internal/request/figproxy"
	"figtrail.dev/figtrail/internal/request/figsend"
)

// Settings are the process's own settings; each is a flag and an environment
// variable of the same name.
type Settings struct {
	// Name is the instance's name, DataCentre the data centre that it stands in.
	Name, DataCentre string
	// Listen is the address for callers, PeerListen for the other instances,
	// ReadyListen for the balancer, AdminListen for operators; each a host and a port.
	Listen, PeerListen, ReadyListen, AdminListen string
	// ReadyPath is the path at which the balancer asks whether callers may come.
	ReadyPath string
	// Source is the address of what the platform publishes, a host and a port.
	Source string
	// SeedsFile is the file that names other instances; empty for none.
	SeedsFile string
	// Starting says that the whole system starts for the first time.
	Starting bool
	// Instances is the number of instances to presume until they have heard of each
	// other.
	Instances int
	// MemoryMB is the memory that the machine gives the process, in MB.
	MemoryMB int
	// Descriptors is the number of descriptors that it may open.
	Descriptors int
	// RetryFraction and RetryFloor bound the sends beyond the first of each request
	// in ten seconds, at all instances together: a part of the requests, and a number.
	RetryFraction float64
	RetryFloor    int
	// RateWindow, RateOverage and RateSlack are what operators tolerate beyond an
	// account's rate and burst: in any window a part of what they allow there, and an
	// amount in their unit. A window of 0 means nothing.
	RateWindow             time.Duration
	RateOverage, RateSlack float64
	// Grace is the time from the order to end until the process is killed.
	Grace time.Duration
	// DrainNotice is how much of it the instance goes on accepting callers, so that
	// the balancer can notice that it isn't ready.
	DrainNotice time.Duration
	// MetricAccounts bounds the client accounts with histograms of their own.
	MetricAccounts int
	// LogLines bounds the log lines that wait to be written.
	LogLines int
	// Verbosity is the level of log lines.
	Verbosity int
}

// Adapter is how the router meets a platform.
type Adapter struct {
	// Source returns what the platform publishes, by its address.
	Source func(address string) figcatalogue.Source
	// Dialect translates requests and answers.
	Dialect *figproxy.Dialect
	// Refused says that an answer is a server's word that it did not run the request.
	Refused func(a *figsend.Answer) bool
	// Order tells a model engine to take a role, in the name of an instance.
	Order func(ctx context.Context, sender *figsend.Sender, holder string, s *figcatalogue.Server, role figview.Role, fence uint64) error
	// Seeds reads the addresses of other instances from a file.
	Seeds func(path string) ([]string, error)
}

// Defaults returns the settings that need not be given.
func Defaults() Settings {
	return Settings{
		Listen:         "127.0.0.1:8080",
		PeerListen:     "127.0.0.1:8081",
		ReadyListen:    "127.0.0.1:8083",
		AdminListen:    "127.0.0.1:8082",
		ReadyPath:      "/readyz",
		Instances:      9, // the larger of today's two sites
		MemoryMB:       256,
		Descriptors:    4096,
		RetryFraction:  0.1,
		RetryFloor:     10,
		Grace:          30 * time.Second,
		DrainNotice:    3 * time.Second,
		MetricAccounts: 50,
		LogLines:       4096,
	}
}

const (
	// memoryMin is the least memory in which the router runs, in MB: 40 MB idle with
	// the largest configuration seen, and as much again for requests.
	memoryMin = 64
	// descriptorsMin leaves room for some hundred callers and their servers.
	descriptorsMin = 512
)

// Check returns every fault of the settings at once, or nil.
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
	add(fignet.IsAddress(s.ReadyListen), "ready-listen", "must be host:port")
	add(fignet.IsAddress(s.AdminListen), "admin-listen", "must be host:port")
	add(strings.HasPrefix(s.ReadyPath, "/"), "ready-path", "must begin with a slash")
	add(fignet.IsAddress(s.Source), "source", "must be given as host:port")
	add(s.Instances > 0, "instances", "must be above 0")
	add(s.MemoryMB >= memoryMin, "memory-mb", "must be at least 64")
	add(s.Descriptors >= descriptorsMin, "descriptors", "must be at least 512")
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
