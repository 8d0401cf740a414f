package figkernel

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"figtrail.dev/figtrail/internal/core/figerror"
)

// journal records the kernel's calls in order.
type journal struct {
	lines []string
}

func (j *journal) service(name string, startErr error) Service {
	return Service{
		Name:  name,
		Value: j,
		Start: func(context.Context) error {
			j.lines = append(j.lines, "start "+name)
			return startErr
		},
		Stop: func(context.Context) error {
			j.lines = append(j.lines, "stop "+name)
			return nil
		},
	}
}

func TestStartsInOrderStopsInReverse(t *testing.T) {
	j := &journal{}
	k := New()
	require.NoError(t, k.Register(j.service("a", nil)))
	require.NoError(t, k.Register(j.service("b", nil)))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	require.NoError(t, k.Run(ctx))
	require.Equal(t, []string{"start a", "start b", "stop b", "stop a"}, j.lines)
}

// If a service fails to start, the services started before it must still be stopped.
func TestFailedStart(t *testing.T) {
	j := &journal{}
	k := New()
	require.NoError(t, k.Register(j.service("a", nil)))
	require.NoError(t, k.Register(j.service("b", errors.New("no port"))))
	err := k.Run(context.Background())
	require.ErrorContains(t, err, "no port")
	step, peer := figerror.Where(err)
	require.Equal(t, "start", step)
	require.Equal(t, "b", peer)
	require.Equal(t, []string{"start a", "start b", "stop a"}, j.lines)
}

// A Run function that fails must end the context of the other services.
func TestFailedRunEndsAll(t *testing.T) {
	k := New()
	require.NoError(t, k.Register(Service{Name: "waits", Run: func(ctx context.Context) error {
		<-ctx.Done()
		return ctx.Err()
	}}))
	require.NoError(t, k.Register(Service{Name: "fails", Run: func(context.Context) error { return errors.New("broken") }}))
	require.ErrorContains(t, k.Run(context.Background()), "run at fails: broken")
}

func TestNames(t *testing.T) {
	k := New()
	require.Error(t, k.Register(Service{}))
	require.NoError(t, k.Register(Service{Name: "a", Value: 7}))
	require.Error(t, k.Register(Service{Name: "a"}))
	v, err := Lookup[int](k, "a")
	require.NoError(t, err)
	require.Equal(t, 7, v)
	_, err = Lookup[string](k, "a")
	require.ErrorContains(t, err, "int")
	_, err = Lookup[int](k, "b")
	require.ErrorContains(t, err, "no such service")
}
