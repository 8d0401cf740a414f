package figserve

import (
	"strings"
	"time"

	"figtrail.dev/figtrail/internal/core/figerror"
	"figtrail.dev/figtrail/internal/core/fignet"
)

// Settings holds the settings of the process. Each is a flag and an environment variable
// of the same name. They are logged at startup as JSON under their Go field names.
type Settings struct {
	// Name is the instance's name on the published list of instances.
	Name string
	// DataCentre is the name of the instance's data centre.
	DataCentre string
	// Listen is the listen address for callers, PeerListen for other instances, and
	// AdminListen for operators; each in the form host:port.
	Listen, PeerListen, AdminListen string
	// Platform is the address of the platform's configuration service, in the form host:port.
	Platform string
	// Seeds holds the peer addresses of other instances, which are asked for the
	// configuration while the platform's configuration service doesn't answer.
	Seeds []string
	// MemoryLimit is the soft memory limit of the Go runtime, in bytes.
	MemoryLimit int64
	// Workers is the maximum number of concurrent requests.
	Workers int
	// BodyLimit and HeaderLimit are the maximum sizes of a request's body and header, in
	// bytes.
	BodyLimit, HeaderLimit int
	// AnswerLimit is the maximum size of a plain service's answer, in bytes.
	AnswerLimit int64
	// SlowCaller is the total time for which one stream may be blocked by a caller that reads
	// too slowly.
	SlowCaller time.Duration
	// DrainNotice is how long a draining instance still accepts requests, so that the
	// load balancer can notice that it isn't ready.
	DrainNotice time.Duration
	// DrainLimit is how long a draining instance then waits for its running requests.
	DrainLimit time.Duration
	// MetricAccounts is the maximum number of client accounts with their own histograms.
	MetricAccounts int
	// LogLines is the maximum number of buffered log lines; further lines are dropped.
	LogLines int
	// Verbosity is the log level: 0 logs only what operators act on, higher levels add
	// detail.
	Verbosity int
}

// Defaults returns the default settings. Name, DataCentre and Platform have none.
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
