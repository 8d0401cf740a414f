package figlife

import (
	"bytes"
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"figtrail.dev/figtrail/internal/core/figtimer"
)

// bench is a source, a caller and the pump between them.
type bench struct {
	Pump

	timer *figtimer.Timer
	// pieces are given out in turn, then the last error.
	pieces [][]byte
	last   error
	// endless gives the pieces out again and again.
	endless bool
	given   int
	// pace is how long the caller takes for each write.
	pace    time.Duration
	taken   bytes.Buffer
	aborted chan struct{}
	once    sync.Once
}

func newBench(limit int, patience time.Duration, last error, pieces ...string) *bench {
	b := &bench{timer: figtimer.New(figtimer.System()), last: last, aborted: make(chan struct{})}
	for _, p := range pieces {
		b.pieces = append(b.pieces, []byte(p))
	}
	b.Pump = Pump{
		Next: b.next, Write: b.write, Abort: func() { b.once.Do(func() { close(b.aborted) }) },
		Limit: limit, Patience: patience, Clock: b.timer.Clock,
	}
	return b
}

func (b *bench) next(ctx context.Context) ([]byte, error) {
	if b.given >= len(b.pieces) && !b.endless {
		if b.last == nil {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return nil, b.last
	}
	p := b.pieces[b.given%len(b.pieces)]
	b.given++
	return p, nil
}

// write takes b after the caller's pace, or fails when the connection is closed.
func (b *bench) write(p []byte) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-b.aborted:
			cancel()
		case <-ctx.Done():
		}
	}()
	if b.pace > 0 && b.timer.Sleep(ctx, b.pace) != nil {
		return errors.New("closed")
	}
	b.taken.Write(p)
	return nil
}

func TestPump(t *testing.T) {
	cut := errors.New("cut")
	tests := []struct {
		name  string
		bench func() *bench
		want  error
		taken string
	}{
		{"whole", func() *bench { return newBench(4, time.Second, io.EOF, "ab", "cd", "efghij", "k") }, nil, "abcdefghijk"},
		{"empty", func() *bench { return newBench(4, time.Second, io.EOF) }, nil, ""},
		{"cut", func() *bench { return newBench(4, time.Second, cut, "ab", "cd") }, cut, "abcd"},
		{"slow within patience", func() *bench {
			b := newBench(2, 10*time.Second, io.EOF, "ab", "cd", "ef")
			b.pace = 2 * time.Second
			return b
		}, nil, "abcdef"},
		{"stuck at the end", func() *bench {
			b := newBench(8, time.Second, io.EOF, "ab")
			b.pace = time.Hour
			return b
		}, ErrSlowCaller, ""},
		{"stuck with a full buffer", func() *bench {
			b := newBench(4, time.Second, nil, "ab", "cd", "ef", "gh", "ij")
			b.pace, b.endless = time.Hour, true
			return b
		}, ErrSlowCaller, ""},
		{"always behind", func() *bench {
			b := newBench(4, 10*time.Second, nil, "ab")
			b.pace, b.endless = time.Second, true
			return b
		}, ErrSlowCaller, "ab"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := tt.bench()
				err := b.Run(t.Context())
				require.ErrorIs(t, err, tt.want)
				require.Equal(t, tt.want == nil, err == nil)
				require.True(t, bytes.HasPrefix(b.taken.Bytes(), []byte(tt.taken)))
				if !b.endless {
					require.Equal(t, tt.taken, b.taken.String())
				}
			})
		})
	}
}

func TestPumpHoldsServerNoLongerThanPatience(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const patience = 10 * time.Second
		b := newBench(4, patience, nil, "ab")
		b.pace, b.endless = time.Second, true
		began := time.Now()
		require.ErrorIs(t, b.Run(t.Context()), ErrSlowCaller)
		// The waits add up to the patience; the caller's last write may overlap.
		require.LessOrEqual(t, time.Since(began), patience+2*b.pace)
		// The buffer, the piece being written and the one that waits.
		require.LessOrEqual(t, 2*b.given, b.taken.Len()+2*b.Limit+2)
	})
}

func TestPumpCutsOffStuckCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const patience = 10 * time.Second
		b := newBench(4, patience, nil, "ab")
		b.pace, b.endless = time.Hour, true
		began := time.Now()
		require.ErrorIs(t, b.Run(t.Context()), ErrSlowCaller)
		require.Equal(t, patience, time.Since(began))
	})
}

func TestPumpCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(4, time.Second, nil, "ab")
		b.Write = func([]byte) error { return errors.New("broken pipe") }
		require.ErrorIs(t, b.Run(t.Context()), ErrCallerGone)
	})
}

func TestPumpCancelledWhileCallerIsStuck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(4, time.Minute, nil, "ab", "cd", "ef")
		b.pace = time.Hour
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		require.ErrorIs(t, b.Run(ctx), ErrSlowCaller)
	})
}

func TestPumpKeepsOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pieces := rapid.SliceOf(rapid.StringN(1, 20, -1)).Draw(t, "pieces")
		b := newBench(rapid.IntRange(1, 30).Draw(t, "limit"), time.Minute, io.EOF, pieces...)
		require.NoError(t, b.Run(context.Background()))
		var want bytes.Buffer
		for _, p := range pieces {
			want.WriteString(p)
		}
		require.Equal(t, want.String(), b.taken.String())
	})
}
