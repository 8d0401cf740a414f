package figlog

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// output is an output whose writes block until unblock is closed.
type output struct {
	mu           sync.Mutex
	text         bytes.Buffer
	writeStarted chan struct{}
	unblock      chan struct{}
	once         sync.Once
}

func (o *output) Write(p []byte) (int, error) {
	o.once.Do(func() { close(o.writeStarted) })
	<-o.unblock
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

// Lines are written complete and in order, and none is lost while the output accepts
// writes.
func TestLinesKeepOrder(t *testing.T) {
	o := &output{writeStarted: make(chan struct{}), unblock: make(chan struct{})}
	close(o.unblock)
	l := New(o, 4096)
	var want strings.Builder
	for i := range 1000 {
		line := fmt.Sprintf("line %d\n", i)
		want.WriteString(line)
		n, err := l.Write([]byte(line))
		require.NoError(t, err)
		require.Equal(t, len(line), n)
	}
	l.Close()
	require.Equal(t, want.String(), o.String())
	require.EqualValues(t, 1000, l.Written.Load())
}

// A blocked output must not block the caller of Write; dropped lines are counted and
// reported.
func TestBlockedOutputDropsLines(t *testing.T) {
	o := &output{writeStarted: make(chan struct{}), unblock: make(chan struct{})}
	l := New(o, 10)
	_, _ = l.Write([]byte("first\n"))
	<-o.writeStarted
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range 100 {
			_, _ = fmt.Fprintf(l, "line %d\n", i)
		}
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("Write blocked on the output")
	}
	require.EqualValues(t, 90, l.Dropped.Load())
	close(o.unblock)
	l.Close()
	require.Contains(t, o.String(), "dropped lines: 90 more, 90 in all")
	require.Contains(t, o.String(), "line 9\n")
	require.NotContains(t, o.String(), "line 10\n")
}
