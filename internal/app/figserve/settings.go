package figserve

import (
	"strings"
	"time"

	"figtrail.dev/figtrail/internal/core/figerror"
	"figtrail.dev/figtrail/internal/core/fignet"
)

// Settings are the process's own settings; each is a flag and an environment
// variable of the same name.
type Settings struct {
	// Name is the instance's name on the published list.
	Name string
	// DataCentre is the data centre that it stands in.
	DataCentre string
	// Listen is the address for callers, PeerListen for the other instances,
	// AdminListen for operators; each a host and a port.
	Listen, PeerListen, AdminListen string
	// Platform is the address of the platform's service, a host and a port.
	Platform string
	// Seeds holds peer addresses of other instances, to be asked for the
	// configuration while the platform's service gives no answer.
	Seeds []string
	// MemoryLimit is the memory that the process tries to stay below, in bytes.
	MemoryLimit int64
	// Workers bounds the requests in progress.
	Workers int
	// BodyLimit and HeaderLimit bound a caller's request, in bytes.
	BodyLimit, HeaderLimit int
	// AnswerLimit bounds the answer of a plain service, in bytes.
	AnswerLimit int64
	// SlowCaller is how long a stream waits for a caller that doesn't read.
	SlowCaller time.Duration
	// DrainNotice is how long a draining instance goes on accepting, so that the
	// balancer can notice that it isn't ready.
	DrainNotice time.Duration
	// DrainLimit bounds how long running requests may take to end after that.
	DrainLimit time.Duration
	// MetricAccounts bounds the client accounts with histograms of their own.
	MetricAccounts int
	// LogLines bounds the log lines that wait to be written.
	LogLines int
	// Verbosity is the level of log lines: 0 shows what operators act on, higher
	// ones add detail.
	Verbosity int
}

// Defaults returns the settings that need not be given.
func Defaults() Settings {
	return Settings{
		Listen:         "127.0.0.1:8080",
		PeerListen:     "127.0.0.1:8081",
		AdminListen:    "127.0.0.1:8082",
		MemoryLimit:    208 << 20,
		Workers:        6000,
		BodyLimit:      8 << 20,
		HeaderLimit:    16 << 10,
		AnswerLimit:    16 << 20,
		SlowCaller:     10 * time.Second,
		DrainNotice:    5 * time.Second,
		DrainLimit:     15 * time.Minute,
		MetricAccounts: 200,
		LogLines:       4096,
	}
}

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
	add(fignet.IsAddress(s.AdminListen), "admin-listen", "must be host:port")
	add(fignet.IsAddress(s.Platform), "platform", "must be given as host:port")
	for _, seed := range s.Seeds {
		add(fignet.IsAddress(seed), "seeds", "must be a list of host:port")
	}
	add(s.MemoryLimit >= 64<<20, "memory-limit", "must be at least 64 MB, in bytes")
	add(s.Workers > 0, "workers", "must be above 0")
	add(s.BodyLimit >= 1<<10, "body-limit", "must be at least 1024 bytes")
	add(s.HeaderLimit >= 1<<10, "header-limit", "must be at least 1024 bytes")
	add(s.AnswerLimit >= 1<<10, "answer-limit", "must be at least 1024 bytes")
	add(s.SlowCaller > 0, "slow-caller", "must be above 0")
	add(s.DrainNotice >= 0, "drain-notice", "must not be negative")
	add(s.DrainLimit > 0, "drain-limit", "must be above 0")
	add(s.Verbosity >= 0, "verbosity", "must not be negative")
	add(s.LogLines > 0, "log-lines", "must be above 0")
	add(s.MetricAccounts >= 0, "metric-accounts", "must not be negative")
	return faults
}
