package figplatform

import (
	"context"
	"time"

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
	Revision uint64 `json:"revision"`
	More     bool   `json:"more"`
	Values   []struct {
		Path    string `json:"path"`
		Version uint64 `json:"version"`
		Text    string `json:"text"`
		Deleted bool   `json:"deleted"`
	} `json:"values"`
}

type instancesBody struct {
	Revision  uint64 `json:"revision"`
	Instances []struct {
		Name       string `json:"name"`
		Address    string `json:"address"`
		DataCentre string `json:"dataCentre"`
		State      string `json:"state"`
	} `json:"instances"`
}

type serversBody struct {
	Revision uint64 `json:"revision"`
	Servers  []struct {
		Name       string    `json:"name"`
		Address    string    `json:"address"`
		DataCentre string    `json:"dataCentre"`
		Pool       string    `json:"pool"`
		Role       string    `json:"role"`
		State      string    `json:"state"`
		StartedAt  time.Time `json:"startedAt"`
	} `json:"servers"`
}

func (c *client) values(ctx context.Context, after uint64, wait time.Duration) (*Values, error) {
	var body valuesBody
	if err := c.get(ctx, valuesPath, after, wait, &body); err != nil {
		return nil, err
	}
	v := &Values{Revision: body.Revision, More: body.More}
	for _, b := range body.Values {
		v.Values = append(v.Values, Value(b))
	}
	if n := len(v.Values); v.More && n > 0 {
		// The service reports its latest revision on every page, so the next page is requested from the last
		// value's version.
		v.Revision = v.Values[n-1].Version
	}
	return v, nil
}

func (c *client) instances(ctx context.Context, after uint64, wait time.Duration) (*Instances, error) {
	var body instancesBody
	if err := c.get(ctx, instancesPath, after, wait, &body); err != nil {
		return nil, err
	}
	l := &Instances{Revision: body.Revision}
	for _, b := range body.Instances {
		state, gone, err := c.parseState(b.Name, b.State)
		if err != nil {
			return nil, err
		}
		m := figview.Member{Name: b.Name, Address: b.Address, DataCentre: b.DataCentre, State: state}
		l.Rows = append(l.Rows, Instance{Member: m, Gone: gone})
	}
	return l, nil
}

func (c *client) servers(ctx context.Context, after uint64, wait time.Duration) (*Servers, error) {
	var body serversBody
	if err := c.get(ctx, serversPath, after, wait, &body); err != nil {
		return nil, err
	}
	l := &Servers{Revision: body.Revision}
	for _, b := range body.Servers {
		state, gone, err := c.parseState(b.Name, b.State)
		if err != nil {
			return nil, err
		}
		role, ok := figview.ParseRole(b.Role)
		if !ok {
			return nil, figerror.Newf("decode "+serversPath, c.Address(), "server %s has unknown role %q", b.Name, b.Role)
		}
		s := figview.Server{
			Name: b.Name, Address: b.Address, DataCentre: b.DataCentre,
			Pool: b.Pool, Role: role, State: state, StartedAt: b.StartedAt,
		}
		l.Rows = append(l.Rows, Server{Server: s, Gone: gone})
	}
	return l, nil
}

func (c *client) parseState(name, text string) (state figview.State, gone bool, err error) {
	switch text {
	case stateLive:
		return figview.Live, false, nil
	case stateLeaving:
		return figview.Leaving, false, nil
	case stateGone:
		return figview.Leaving, true, nil
	}
	return figview.Leaving, false, figerror.Newf("decode list", c.Address(), "%s has unknown state %q", name, text)
}
