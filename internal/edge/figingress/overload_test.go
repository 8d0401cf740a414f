package figingress

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"figtrail.dev/figtrail/internal/request/figproxy"
)

// Connections beyond the limit that their callers don't close must not keep the server from accepting others.
func TestRefusedConnectionsDoNotHoldUpAccept(t *testing.T) {
	started, release := make(chan struct{}, 1000), make(chan struct{})
	s := startStoppable(t, listen(t), func(context.Context, *figproxy.Call) *figproxy.Reply {
		started <- struct{}{}
		<-release
		return &figproxy.Reply{Status: 200}
	})
	defer s.stop(time.Second)
	defer close(release)
	for range 1000 {
		s.dial().write(request("/held"))
	}
	for range 1000 {
		<-started
	}
	const refused = 20
	begun := time.Now()
	callers := make([]*caller, refused)
	for i := range callers {
		callers[i] = s.dial()
		callers[i].write(request("/refused"))
	}
	for _, c := range callers {
		require.Equal(t, 503, c.read().status)
	}
	require.Less(t, time.Since(begun), time.Second)
}
