package figemulator

import (
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
)

// InstanceRow is one row of the list of instances.
type InstanceRow struct {
	Name       string `json:"name"`
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
	// State is "live", "leaving" or "gone".
	State string `json:"state"`
}

// ServerRow is one row of the list of backend servers.
type ServerRow struct {
	Name       string `json:"name"`
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
	Pool       string `json:"pool"`
	// Role is "prefill", "decode" or "plain".
	Role string `json:"role"`
	// State is "live", "leaving" or "gone".
	State string `json:"state"`
	// StartedAt is in RFC 3339.
	StartedAt string `json:"startedAt"`
}

// valueRow is one published value.
type valueRow struct {
	Path    string `json:"path"`
	Version uint64 `json:"version"`
	Text    string `json:"text"`
	Deleted bool   `json:"deleted"`
}

// platformState holds the published values and lists.
type platformState struct {
	values    revisions[valueRow]
	instances revisions[InstanceRow]
	servers   revisions[ServerRow]
}

func (s *platformState) clone() *platformState {
	return &platformState{
		values:    s.values.clone(),
		instances: s.instances.clone(),
		servers:   s.servers.clone(),
	}
}

// PlatformOptions configures a Platform.
type PlatformOptions struct {
	// Listen is the address; empty means a free port on 127.0.0.1.
	Listen string
}

// Platform emulates the configuration service and the lists of instances and
// backend servers. It embeds a default Reader; StartReader adds more, each with its
// own address and faults, so that tests can cut off a part of the fleet.
type Platform struct {
	*Reader

	mu      sync.Mutex
	state   platformState
	changed chan struct{}
	readers []*Reader
}

// StartPlatform starts a platform that publishes nothing yet.
func StartPlatform(opts PlatformOptions) (*Platform, error) {
	p := &Platform{changed: make(chan struct{})}
	r, err := p.StartReader(ReaderOptions{Listen: opts.Listen})
	if err != nil {
		return nil, err
	}
	p.Reader = r
	return p, nil
}

// Close stops all readers of the platform.
func (p *Platform) Close() error {
	p.mu.Lock()
	readers := p.readers
	p.mu.Unlock()
	var err error
	for _, r := range readers {
		err = errors.CombineErrors(err, r.Close())
	}
	return err
}

// Publish sets the value at path and returns its version.
func (p *Platform) Publish(path, text string) uint64 {
	return p.change(func(s *platformState) uint64 {
		version := s.values.revision + 1
		return s.values.set(path, valueRow{Path: path, Version: version, Text: text})
	})
}

// Delete marks the value at path as deleted under a new version and returns the version.
func (p *Platform) Delete(path string) uint64 {
	return p.change(func(s *platformState) uint64 {
		version := s.values.revision + 1
		return s.values.set(path, valueRow{Path: path, Version: version, Deleted: true})
	})
}

// SetInstance adds or replaces a row of the list of instances.
func (p *Platform) SetInstance(row InstanceRow) uint64 {
	return p.change(func(s *platformState) uint64 { return s.instances.set(row.Name, row) })
}

// SetServer adds or replaces a row of the list of backend servers.
func (p *Platform) SetServer(row ServerRow) uint64 {
	return p.change(func(s *platformState) uint64 { return s.servers.set(row.Name, row) })
}

// PublishDir publishes every .yaml file below dir under its relative path without
// the extension. It returns the number of published files.
func (p *Platform) PublishDir(dir string) (int, error) {
	count := 0
	err := filepath.WalkDir(dir, func(name string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(name, ".yaml") {
			return err
		}
		text, err := os.ReadFile(name)
		if err != nil {
			return err
		}
		path, err := filepath.Rel(dir, name)
		if err != nil {
			return err
		}
		p.Publish(strings.TrimSuffix(filepath.ToSlash(path), ".yaml"), string(text))
		count++
		return nil
	})
	return count, errors.Wrap(err, "publish directory")
}

func (p *Platform) change(f func(*platformState) uint64) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	revision := f(&p.state)
	close(p.changed)
	p.changed = make(chan struct{})
	return revision
}

// Snapshot is a copy of the published state.
type Snapshot struct {
	state *platformState
}

// Snapshot returns the current state, for Reader.Rewind.
func (p *Platform) Snapshot() *Snapshot { return &Snapshot{state: p.snapshot()} }

// snapshot returns a copy of the state.
func (p *Platform) snapshot() *platformState {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.clone()
}
