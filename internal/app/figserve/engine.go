package figserve

import (
	"context"
	"time"

	"figtrail.dev/figtrail/internal/engine/figengine"
	"figtrail.dev/figtrail/internal/fleet/figview"
	"figtrail.dev/figtrail/internal/place/figowner"
)

// pollServer fetches the load report of a backend server.
func (i *Instance) pollServer(ctx context.Context, s figview.Server) (*figowner.Report, error) {
	l, err := i.engine.Load(ctx, s)
	if err != nil {
		return nil, err
	}
	return reportOf(l), nil
}

// sendOrder sends an order to a backend server.
func (i *Instance) sendOrder(ctx context.Context, s figview.Server, o figowner.Order) error {
	return i.engine.SendOrder(ctx, s, &figengine.Order{Fence: o.Fence, Kind: string(o.Kind), Name: o.Name})
}

// reportOf converts an engine's load report into the form that the owner uses.
func reportOf(l *figengine.Load) *figowner.Report {
	r := &figowner.Report{
		StartedAt:          l.StartedAt,
		Age:                time.Duration(l.AgeMillis) * time.Millisecond,
		Running:            make([]figowner.Running, 0, len(l.Running)),
		Waiting:            l.Waiting,
		QueueTokens:        int64(l.QueueTokens),
		PiecesFree:         int64(l.PiecesFree),
		PiecesTotal:        int64(l.PiecesTotal),
		TokensPerSecond:    l.TokensPerSecond,
		LinkBytesPerSecond: l.LinkBytesPerSecond,
		Models:             l.Models,
		Adapters:           l.Adapters,
		Fence:              l.Fence,
	}
	for _, q := range l.Running {
		r.Running = append(r.Running, figowner.Running{ID: q.ID, Pieces: int64(q.Pieces), Tokens: int64(q.Tokens)})
	}
	return r
}
