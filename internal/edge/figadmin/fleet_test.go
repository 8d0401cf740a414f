package figadmin

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"figtrail.dev/figtrail/internal/fleet/figview"
)

func TestStatuses(t *testing.T) {
	f := &Fleet{
		Self:  figview.Member{Name: "b", Address: "here"},
		Peers: func() []figview.Member { return []figview.Member{{Name: "c"}, {Name: "a"}, {Name: "d"}} },
		Query: func(ctx context.Context, m figview.Member) (*StatusAnswer, error) {
			switch m.Name {
			case "a":
				return &StatusAnswer{Text: []byte(`{"name":"a"}`)}, nil
			case "c":
				return nil, errors.New("connection refused")
			default:
				<-ctx.Done()
				return nil, ctx.Err()
			}
		},
	}
	start := time.Now()
	all := f.Statuses(t.Context(), map[string]string{"name": "b"})
	require.Less(t, time.Since(start), 3*queryTimeout)
	require.Len(t, all, 4)
	require.JSONEq(t, `{"name":"a"}`, string(all[0].Status))
	require.JSONEq(t, `{"name":"b"}`, string(all[1].Status))
	require.Equal(t, "here", all[1].Address)
	require.Equal(t, InstanceStatus{Name: "c", Error: "connection refused"}, all[2])
	require.Equal(t, InstanceStatus{Name: "d", Error: context.DeadlineExceeded.Error()}, all[3],
		"a peer that does not answer must not delay the response")
}
