package figserve_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"figtrail.dev/figtrail/internal/app/figserve"
	"figtrail.dev/figtrail/internal/edge/figadmin"
)

func fetchPage(t *testing.T, url string) (int, string) {
	t.Helper()
	a, err := http.Get(url)
	require.NoError(t, err)
	text, err := io.ReadAll(a.Body)
	require.NoError(t, err)
	require.NoError(t, a.Body.Close())
	return a.StatusCode, string(text)
}

func containsAll(text string, parts ...string) bool {
	for _, p := range parts {
		if !strings.Contains(text, p) {
			return false
		}
	}
	return true
}

// The admin pages must show the status of the components and never contain a key.
func TestAdminPages(t *testing.T) {
	t.Parallel()
	f := startFixture(t, 1)
	base := "http://" + f.Instances[0].AdminAddress()
	for _, path := range []string{"/healthz", "/readyz"} {
		code, _ := fetchPage(t, base+path)
		require.Equal(t, http.StatusOK, code, path)
	}
	code, text := fetchPage(t, base+"/status")
	require.Equal(t, http.StatusOK, code)
	var s figserve.Status
	require.NoError(t, json.Unmarshal([]byte(text), &s))
	require.Equal(t, "ready", s.Ready)
	require.Equal(t, 1, s.Config.Accounts)
	require.Len(t, s.Servers, 3)
	require.NotContains(t, text, f.key.Text)

	f.eventually(func() bool {
		code, text = fetchPage(t, base+"/metrics")
		return code == http.StatusOK && containsAll(text, "figtrail_requests{", `class="test"`)
	})
	require.NotContains(t, text, f.key.Text)
	code, _ = fetchPage(t, base+"/elsewhere")
	require.Equal(t, http.StatusNotFound, code)
}

// An instance must not be ready while its data centre is declared out of service.
func TestNotReadyInDataCentreOutOfService(t *testing.T) {
	t.Parallel()
	f := startFixture(t, 1)
	f.Platform.Publish("all", strings.Replace(f.declare(false), "name: east", "name: east\n    out: true", 1))
	base := "http://" + f.Instances[0].AdminAddress()
	f.eventually(func() bool {
		code, _ := fetchPage(t, base+"/readyz")
		return code == http.StatusServiceUnavailable
	})
}

// An invalid document must be rejected and shown in the status with its path and line,
// while its last valid version stays in use.
func TestInvalidDocumentIsRejected(t *testing.T) {
	t.Parallel()
	f := startFixture(t, 1)
	f.Platform.Publish("all", "accounts:\n  - nome: acme\n")
	base := "http://" + f.Instances[0].AdminAddress()
	f.eventually(func() bool {
		_, text := fetchPage(t, base+"/status")
		return containsAll(text, `"path": "all"`, `"line": 2`)
	})
	require.Equal(t, http.StatusOK, f.ask("/ledger/balance"))
}

// An instance that starts while the configuration service is down must fetch the
// configuration from its seeds.
func TestStartWhileConfigurationServiceIsDown(t *testing.T) {
	t.Parallel()
	f := startFixture(t, 1)
	f.Platform.Down(true)
	s := figserve.Defaults()
	s.Name, s.DataCentre, s.Platform = "late", "east", f.Platform.Address()
	s.Listen, s.PeerListen, s.AdminListen = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	s.Seeds = []string{f.Instances[0].PeerAddress()}
	i, err := figserve.New(s)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- i.Run(ctx) }()
	f.eventually(func() bool { return get("http://"+i.AdminAddress()+"/readyz", "") == http.StatusOK })
	require.Equal(t, http.StatusOK, get("http://"+i.CallerAddress()+"/open/hours", ""))
	cancel()
	require.NoError(t, <-ended)
}

// The page /status/all must contain the status of each instance.
func TestStatusOfAll(t *testing.T) {
	t.Parallel()
	f := startFixture(t, 2)
	base := "http://" + f.Instances[0].AdminAddress()
	statuses := func() []figadmin.InstanceStatus {
		code, text := fetchPage(t, base+"/status/all")
		require.Equal(t, http.StatusOK, code)
		require.NotContains(t, text, f.key.Text)
		var all []figadmin.InstanceStatus
		require.NoError(t, json.Unmarshal([]byte(text), &all))
		require.Len(t, all, 2)
		return all
	}
	f.eventually(func() bool {
		for i, one := range statuses() {
			var s figserve.Status
			if one.Error != "" || json.Unmarshal(one.Status, &s) != nil || s.Name != f.Instances[i].Name {
				return false
			}
		}
		return true
	})
}
