package figplatform

import (
	"context"
	"encoding/json"
	"net"
	"strconv"
	"strings"
	"time"
	"unicode"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"figtrail.dev/figtrail/internal/core/figerror"
	"figtrail.dev/figtrail/internal/fleet/figview"
)

const (
	valuesPath    = "/v1/values"
	instancesPath = "/v1/instances"
	serversPath   = "/v1/servers"

	stateLive    = "live"
	stateLeaving = "leaving"
	stateGone    = "gone"
)

type valuesBody struct {
	Revision uint64            `json:"revision"`
	More     bool              `json:"more"`
	Values   []json.RawMessage `json:"values"`
}

type valueRow struct {
	Path    string `json:"path"`
	Version uint64 `json:"version"`
	Text    string `json:"text"`
	Deleted bool   `json:"deleted"`
}

type instancesBody struct {
	Revision  uint64            `json:"revision"`
	Instances []json.RawMessage `json:"instances"`
}

type instanceRow struct {
	Name       string `json:"name"`
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
	State      string `json:"state"`
}

type serversBody struct {
	Revision uint64            `json:"revision"`
	Servers  []json.RawMessage `json:"servers"`
}

type serverRow struct {
	instanceRow

	Pool      string    `json:"pool"`
	Role      string    `json:"role"`
	StartedAt time.Time `json:"startedAt"`
}

// maxRevision bounds revisions and versions. A higher one would keep the true ones from being followed.
const maxRevision = 1 << 62

var (
	errInvalidName    = errors.New("the name is empty or has control characters")
	errInvalidAddress = errors.New("the address is not a host and a port from 1 to 65535")
	errInvalidVersion = errors.New("the version is out of range")
)

// checkRevision returns an error for a revision out of range.
func (c *client) checkRevision(path string, revision uint64) error {
	if revision > maxRevision {
		return figerror.Newf("decode "+path, c.Address(), "revision %d is out of range", revision)
	}
	return nil
}

func (c *client) values(ctx context.Context, after uint64, wait time.Duration) (*Values, error) {
	var body valuesBody
	if err := c.get(ctx, valuesPath, after, wait, &body); err != nil {
		return nil, err
	}
	if err := c.checkRevision(valuesPath, body.Revision); err != nil {
		return nil, err
	}
	v := &Values{Revision: body.Revision, More: body.More}
	last := uint64(0)
	for _, text := range body.Values {
		var row valueRow
		err := json.Unmarshal(text, &row)
		if row.Version > maxRevision || err == nil && row.Version == 0 {
			row.Version, err = 0, errInvalidVersion
		}
		last = max(last, row.Version)
		if err != nil {
			logSkipped(valuesPath, row.Path, err)
			continue
		}
		v.Values = append(v.Values, Value(row))
	}
	if !v.More {
		return v, nil
	}
	if last <= after {
		return nil, figerror.New("decode "+valuesPath, c.Address(), "a page that is not the last one has no newer value")
	}
	// The service reports its latest revision on every page, so the next page is requested from the last
	// value's version.
	v.Revision = last
	return v, nil
}

// instances reads the list of instances. A row that can't be decoded counts as removed.
func (c *client) instances(ctx context.Context, after uint64, wait time.Duration) (*Instances, error) {
	var body instancesBody
	if err := c.get(ctx, instancesPath, after, wait, &body); err != nil {
		return nil, err
	}
	if err := c.checkRevision(instancesPath, body.Revision); err != nil {
		return nil, err
	}
	l := &Instances{Revision: body.Revision}
	for _, text := range body.Instances {
		m, gone, err := decodeInstance(text)
		if err != nil {
			name := nameOf(text)
			logSkipped(instancesPath, name, err)
			if name == "" {
				continue
			}
			m, gone = figview.Member{Name: name, State: figview.Leaving}, true
		}
		l.Rows = append(l.Rows, Instance{Member: m, Gone: gone})
	}
	return l, nil
}

// servers reads the list of servers. A row that can't be decoded counts as removed.
func (c *client) servers(ctx context.Context, after uint64, wait time.Duration) (*Servers, error) {
	var body serversBody
	if err := c.get(ctx, serversPath, after, wait, &body); err != nil {
		return nil, err
	}
	if err := c.checkRevision(serversPath, body.Revision); err != nil {
		return nil, err
	}
	l := &Servers{Revision: body.Revision}
	for _, text := range body.Servers {
		s, gone, err := decodeServer(text)
		if err != nil {
			name := nameOf(text)
			logSkipped(serversPath, name, err)
			if name == "" {
				continue
			}
			s, gone = figview.Server{Name: name, State: figview.Leaving}, true
		}
		l.Rows = append(l.Rows, Server{Server: s, Gone: gone})
	}
	return l, nil
}

func decodeInstance(text []byte) (m figview.Member, gone bool, err error) {
	var row instanceRow
	if err = json.Unmarshal(text, &row); err != nil {
		return m, false, err
	}
	m = figview.Member{Name: row.Name, Address: row.Address, DataCentre: row.DataCentre}
	m.State, gone, err = row.state()
	return m, gone, err
}

func decodeServer(text []byte) (s figview.Server, gone bool, err error) {
	var row serverRow
	if err = json.Unmarshal(text, &row); err != nil {
		return s, false, err
	}
	s = figview.Server{
		Name: row.Name, Address: row.Address, DataCentre: row.DataCentre, Pool: row.Pool, StartedAt: row.StartedAt,
	}
	if s.State, gone, err = row.state(); err != nil {
		return s, false, err
	}
	role, ok := figview.ParseRole(row.Role)
	if !ok {
		return s, false, errors.Newf("unknown role %q", row.Role)
	}
	s.Role = role
	return s, gone, nil
}

// state returns the state of a row with a name and, unless it is gone, an address.
func (r *instanceRow) state() (state figview.State, gone bool, err error) {
	if !validName(r.Name) {
		return figview.Leaving, false, errInvalidName
	}
	if r.State == stateGone {
		return figview.Leaving, true, nil
	}
	if !validAddress(r.Address) {
		return figview.Leaving, false, errInvalidAddress
	}
	switch r.State {
	case stateLive:
		return figview.Live, false, nil
	case stateLeaving:
		return figview.Leaving, false, nil
	}
	return figview.Leaving, false, errors.Newf("unknown state %q", r.State)
}

// nameOf returns the name in a row that can't be decoded; empty if it has none.
func nameOf(text []byte) string {
	var row struct {
		Name string `json:"name"`
	}
	if json.Unmarshal(text, &row) != nil || !validName(row.Name) {
		return ""
	}
	return row.Name
}

func validName(name string) bool { return name != "" && !strings.ContainsFunc(name, unicode.IsControl) }

func validAddress(address string) bool {
	host, port, err := net.SplitHostPort(address)
	if err != nil || host == "" || strings.ContainsFunc(host, unicode.IsControl) {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n > 0
}

func logSkipped(path, name string, err error) {
	klog.InfoS("row can't be decoded; skipping it", "list", path, "name", name, "err", err)
}
