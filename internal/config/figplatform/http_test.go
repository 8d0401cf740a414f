package figplatform_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"figtrail.dev/figtrail/internal/config/figplatform"
	"figtrail.dev/figtrail/internal/fleet/figview"
	"figtrail.dev/figtrail/internal/stand/figemulator"
)

func startPlatform(t *testing.T) *figemulator.Platform {
	t.Helper()
	p, err := figemulator.StartPlatform(figemulator.PlatformOptions{})
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, p.Close()) })
	return p
}

func TestValuesPageByPage(t *testing.T) {
	emulator := startPlatform(t)
	const count = 50
	for i := range count {
		emulator.Publish(fmt.Sprint("team/", i), "# nothing\n")
	}
	emulator.Delete("team/0")
	p := figplatform.HTTP(emulator.Address())
	seen := map[string]figplatform.Value{}
	var after uint64
	for more := true; more; {
		v, err := p.Values(context.Background(), after, 0)
		require.NoError(t, err)
		for _, value := range v.Values {
			seen[value.Path] = value
		}
		after, more = v.Revision, v.More
	}
	require.Len(t, seen, count)
	require.True(t, seen["team/0"].Deleted)
	require.Equal(t, uint64(count+1), after)
}

func TestLists(t *testing.T) {
	emulator := startPlatform(t)
	emulator.SetInstance(figemulator.InstanceRow{Name: "a", Address: "127.0.0.1:1", DataCentre: "x", State: "live"})
	emulator.SetInstance(figemulator.InstanceRow{Name: "b", Address: "127.0.0.1:2", DataCentre: "x", State: "gone"})
	emulator.SetServer(figemulator.ServerRow{
		Name: "s", Address: "127.0.0.1:3", DataCentre: "x", Pool: "p", Role: "decode", State: "leaving",
		StartedAt: "2026-01-02T03:04:05Z",
	})
	p := figplatform.HTTP(emulator.Address())
	l, err := p.Instances(context.Background(), 0, 0)
	require.NoError(t, err)
	require.Equal(t, uint64(2), l.Revision)
	gone := map[string]bool{}
	for _, r := range l.Rows {
		gone[r.Name] = r.Gone
	}
	require.Equal(t, map[string]bool{"a": false, "b": true}, gone)
	s, err := p.Servers(context.Background(), 0, 0)
	require.NoError(t, err)
	require.Len(t, s.Rows, 1)
	require.Equal(t, figview.Decode, s.Rows[0].Role)
	require.Equal(t, figview.Leaving, s.Rows[0].State)
	require.Equal(t, 2026, s.Rows[0].StartedAt.Year())
}

// A response that can't be decoded, or that can't be true, must be an error.
func TestInvalidResponses(t *testing.T) {
	for _, body := range []string{
		"<html>", "[]", `{"revision":-1}`, `{"revision":18446744073709551615}`, `{"revision":1e400}`, `{"revision":1,"instances":{},"servers":{},"values":{}}`,
		strings.Repeat("[", 200_000),
	} {
		p := figplatform.HTTP(serveBodies(t, new(atomic.Int64), body, body, body))
		_, err := p.Instances(context.Background(), 0, 0)
		require.ErrorContains(t, err, "decode", "%.40s", body)
		_, err = p.Servers(context.Background(), 0, 0)
		require.ErrorContains(t, err, "decode", "%.40s", body)
		_, err = p.Values(context.Background(), 0, 0)
		require.ErrorContains(t, err, "decode", "%.40s", body)
	}
}

// oddRows returns rows of lists that name nobody, between two that do.
func oddRows(more ...string) string {
	rows := make([]string, 0, 32)
	rows = append(rows, `{"name":"a","address":"127.0.0.1:1","dataCentre":"x","pool":"p","role":"plain","state":"live"}`)
	for i, fields := range append(more,
		`"address":"127.0.0.1:1","state":"asleep"`, `"address":"127.0.0.1:1"`, `"address":"127.0.0.1:0","state":"live"`, `"address":"127.0.0.1:-1","state":"live"`,
		`"address":"127.0.0.1:99999999","state":"live"`, `"address":"127.0.0.1","state":"live"`, `"address":":1","state":"live"`, `"address":5,"state":"live"`,
		`"state":"live"`, `"address":"127.0.0.1:1","state":"live","dataCentre":{}`, `"state":`+strings.Repeat("[", 9000)+strings.Repeat("]", 9000),
	) {
		rows = append(rows, fmt.Sprintf(`{"name":"odd%d","pool":"p","role":"plain",%s}`, i, fields))
	}
	rows = append(rows, "null", "[]", "5", "{}", `{"name":5}`, `{"name":"x\r\ny","address":"127.0.0.1:1","role":"plain","state":"live"}`,
		`{"name":"b","address":"host:65535","dataCentre":"x","pool":"p","role":"plain","state":"leaving"}`)
	return strings.Join(rows, ",")
}

// A row that can't be decoded names nobody, and the other rows of the list hold.
func TestOddRowsNameNobody(t *testing.T) {
	rows := oddRows()
	l, err := figplatform.HTTP(serveBodies(t, new(atomic.Int64), `{"revision":7,"instances":[`+rows+`]}`)).Instances(context.Background(), 0, 0)
	require.NoError(t, err)
	require.EqualValues(t, 7, l.Revision)
	var listed []string
	for _, r := range l.Rows {
		if !r.Gone {
			listed = append(listed, r.Name)
		}
	}
	require.Equal(t, []string{"a", "b"}, listed)

	rows = oddRows(`"address":"127.0.0.1:1","state":"live","role":"both"`, `"address":"127.0.0.1:1","state":"live","role":5`,
		`"address":"127.0.0.1:1","state":"live","startedAt":"soon"`, `"address":"127.0.0.1:1","state":"live","startedAt":1e400`)
	s, err := figplatform.HTTP(serveBodies(t, new(atomic.Int64), `{"revision":7,"servers":[`+rows+`]}`)).Servers(context.Background(), 0, 0)
	require.NoError(t, err)
	require.EqualValues(t, 7, s.Revision)
	listed = nil
	gone := map[string]bool{}
	for _, r := range s.Rows {
		gone[r.Name] = r.Gone
		if !r.Gone {
			listed = append(listed, r.Name)
		}
	}
	require.Equal(t, []string{"a", "b"}, listed)
	require.True(t, gone["odd0"], "a server with an odd row must no longer be listed")
}

// Values that can't be decoded are skipped, also at the end of a page.
func TestOddValues(t *testing.T) {
	const odd = `{"path":5,"version":3},{"path":"c","version":18446744073709551615},{"path":"d","version":-1},null,5`
	address := serveBodies(t, new(atomic.Int64), `{"revision":9,"more":true,"values":[{"path":"a","version":2,"text":"x"},`+odd+`]}`,
		`{"revision":9,"more":true,"values":[`+odd+`]}`, `{"revision":9,"more":true,"values":[]}`)
	p := figplatform.HTTP(address)
	v, err := p.Values(context.Background(), 0, 0)
	require.NoError(t, err)
	require.Equal(t, []figplatform.Value{{Path: "a", Version: 2, Text: "x"}}, v.Values)
	require.EqualValues(t, 3, v.Revision)
	for range 2 {
		_, err = p.Values(context.Background(), v.Revision, 0)
		require.Error(t, err, "a page that isn't the last one must have newer values")
	}
}

// A call is sent once and not retried if the service closes the connection after reading it, whether the
// connection is new or reused.
func TestOneAttempt(t *testing.T) {
	for _, responses := range []int{0, 1} {
		var calls atomic.Int64
		p := figplatform.HTTP(serveBodies(t, &calls, slices.Repeat([]string{`{"revision":1}`}, responses)...))
		for range responses {
			_, err := p.Instances(context.Background(), 0, 0)
			require.NoError(t, err)
		}
		_, err := p.Instances(context.Background(), 0, 0)
		require.Error(t, err)
		require.EqualValues(t, responses+1, calls.Load())
	}
}

// A call on a connection without any response fails at its deadline.
func TestSilentService(t *testing.T) {
	emulator := startPlatform(t)
	emulator.Silent(true)
	p := figplatform.HTTP(emulator.Address(), figplatform.WithTimeout(100*time.Millisecond))
	_, err := p.Values(context.Background(), 0, 50*time.Millisecond)
	require.Error(t, err)
	emulator.Silent(false)
	_, err = p.Values(context.Background(), 0, 0)
	require.NoError(t, err)
}

func TestContextEndsWait(t *testing.T) {
	emulator := startPlatform(t)
	ctx, cancel := context.WithCancel(context.Background())
	p := figplatform.HTTP(emulator.Address())
	go func() {
		for emulator.Reads.Load() == 0 {
			<-time.After(time.Millisecond)
		}
		cancel()
	}()
	_, err := p.Values(ctx, 0, 20*time.Second)
	require.ErrorIs(t, err, context.Canceled)
}

// serveBodies returns the address of a service that answers the first calls with bodies. It reads each later call
// and closes the connection without a response.
func serveBodies(t *testing.T, calls *atomic.Int64, bodies ...string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, l.Close()) })
	serve := func(c net.Conn) {
		defer func() { _ = c.Close() }()
		r := bufio.NewReader(c)
		for {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			n := int(calls.Add(1))
			if n > len(bodies) {
				return
			}
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(bodies[n-1]), bodies[n-1])
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return l.Addr().String()
}
