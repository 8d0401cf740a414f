package figemulator

import (
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"
)

func startPlatform(t *testing.T) *Platform {
	t.Helper()
	p, err := StartPlatform(PlatformOptions{})
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, p.Close()) })
	return p
}

// read gets a path of a reader and decodes the answer into v.
func read(t *testing.T, r *Reader, path string, v any) int {
	t.Helper()
	q, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+r.Address()+path, nil)
	require.NoError(t, err)
	a, err := http.DefaultClient.Do(q)
	require.NoError(t, err)
	defer func() { require.NoError(t, a.Body.Close()) }()
	require.NoError(t, json.NewDecoder(a.Body).Decode(v))
	return a.StatusCode
}

func TestPlatformValues(t *testing.T) {
	p := startPlatform(t)
	p.Publish("a", "one")
	p.Publish("b", "two")
	p.Publish("a", "three")
	p.Delete("b")
	var v valuesAnswer
	read(t, p.Reader, "/v1/values?after=0", &v)
	require.Equal(t, valuesAnswer{Revision: 4, Values: []valueRow{
		{Path: "a", Version: 3, Text: "three"},
		{Path: "b", Version: 4, Deleted: true},
	}}, v)
	read(t, p.Reader, "/v1/values?after=0&limit=1", &v)
	require.True(t, v.More)
	require.Len(t, v.Values, 1)
	require.EqualValues(t, 2, p.Reads.Load())
}

func TestPlatformLongPoll(t *testing.T) {
	p := startPlatform(t)
	row := InstanceRow{Name: "i", Address: "127.0.0.1:1", DataCentre: "a", State: "live"}
	go func() {
		for p.Reads.Load() == 0 {
			runtime.Gosched()
		}
		p.SetInstance(row)
	}()
	var v instancesAnswer
	read(t, p.Reader, "/v1/instances?after=0&wait=20", &v)
	require.Equal(t, instancesAnswer{Revision: 1, Instances: []InstanceRow{row}}, v)
}

func TestReaderFaults(t *testing.T) {
	p := startPlatform(t)
	p.SetServer(ServerRow{Name: "s", Address: "x:1", State: "live"})
	r, err := p.StartReader(ReaderOptions{Translate: func(name, address string) string {
		return name + "@" + address
	}})
	require.NoError(t, err)
	var v serversAnswer
	read(t, r, "/v1/servers", &v)
	require.Equal(t, "s@x:1", v.Servers[0].Address)
	r.Stale(true)
	p.SetServer(ServerRow{Name: "s", Address: "x:2", State: "leaving"})
	read(t, r, "/v1/servers", &v)
	require.Equal(t, "s@x:1", v.Servers[0].Address)
	read(t, p.Reader, "/v1/servers", &v)
	require.Equal(t, "x:2", v.Servers[0].Address)
	r.Down(true)
	require.Equal(t, http.StatusServiceUnavailable, read(t, r, "/v1/servers?after=9&wait=20", &v))
}

func TestPublishDir(t *testing.T) {
	p := startPlatform(t)
	dir := t.TempDir()
	require.NoError(t, os.Mkdir(filepath.Join(dir, "accounts"), 0o755))
	require.NoError(t, os.WriteFile(filepath.Join(dir, "accounts", "huber.yaml"), []byte("x: 1\n"), 0o600))
	require.NoError(t, os.WriteFile(filepath.Join(dir, "notes.txt"), []byte("no"), 0o600))
	n, err := p.PublishDir(dir)
	require.NoError(t, err)
	require.Equal(t, 1, n)
	var v valuesAnswer
	read(t, p.Reader, "/v1/values", &v)
	require.Equal(t, "accounts/huber", v.Values[0].Path)
}
