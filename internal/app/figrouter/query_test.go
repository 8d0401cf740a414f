package figrouter

import (
	"context"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"figtrail.dev/figtrail/internal/config/figcatalogue"
	"figtrail.dev/figtrail/internal/config/figroute"
	"figtrail.dev/figtrail/internal/core/figtimer"
	"figtrail.dev/figtrail/internal/fleet/figdiscovery"
	"figtrail.dev/figtrail/internal/fleet/figpeer"
)

// startPeer starts an instance that answers each request for its contents with s.
func startPeer(t *testing.T, s *figcatalogue.Snapshot) (address string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	h := figpeer.NewHandlers()
	figpeer.Handle(h, callView, func(context.Context, *figcatalogue.SnapshotRequest) (*figcatalogue.Snapshot, error) { return s, nil })
	go func() { _ = h.Serve(t.Context(), l) }()
	return l.Addr().String()
}

// An instance that starts must go on asking others if the first one has no contents yet, as while several start at once.
func TestEmptyAnswerEndsNoQuery(t *testing.T) {
	seeds := []string{
		startPeer(t, &figcatalogue.Snapshot{}),
		startPeer(t, &figcatalogue.Snapshot{Epoch: 2, Revision: 40, Declarations: &figroute.Declarations{Version: 12}}),
	}
	r := &Router{
		client: figpeer.NewClient(figpeer.ClientOptions{}),
		discovery: figdiscovery.New(figdiscovery.Options{
			Self: figdiscovery.Member{Name: "self", Address: "127.0.0.1:1"}, Clock: figtimer.System(),
			Seeds: func() []string { return seeds },
		}),
	}
	defer func() { require.NoError(t, r.client.Close()) }()
	s, _, err := r.queryPeers(t.Context(), &figcatalogue.SnapshotRequest{})
	require.NoError(t, err)
	require.NotNil(t, s.Declarations)
}
