package figworker

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A full pool must reject a task immediately, and a task that panics must free its goroutine.
func TestPool(t *testing.T) {
	p, err := New(1)
	require.NoError(t, err)
	defer p.Close()
	release := make(chan struct{})
	started := make(chan struct{})
	require.True(t, p.Go(func() {
		close(started)
		<-release
		panic("broken")
	}))
	<-started
	require.False(t, p.Go(func() {}))
	require.Equal(t, 1, p.Running())
	close(release)
	done := make(chan struct{})
	for !p.Go(func() { close(done) }) {
	}
	<-done
}

func TestClosedPoolRefuses(t *testing.T) {
	p, err := New(1)
	require.NoError(t, err)
	p.Close()
	require.False(t, p.Go(func() {}))
}
