package figsend

import (
	"net/http"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
)

var methods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch,
	http.MethodDelete, http.MethodOptions, http.MethodTrace, "QUERY",
}

// TestOneAttempt checks that a call of any method isn't sent again when the server reads it and closes the connection
// without an answer. By default fasthttp would retry calls of some methods.
func TestOneAttempt(t *testing.T) {
	for _, method := range methods {
		for _, idempotent := range []bool{false, true} {
			for _, answered := range []int64{0, 1} {
				name := method + "/" + strconv.FormatBool(idempotent) + "/" + strconv.FormatInt(answered, 10)
				t.Run(name, func(t *testing.T) { oneAttempt(t, method, idempotent, answered) })
			}
		}
	}
}

func oneAttempt(t *testing.T, method string, idempotent bool, answered int64) {
	server := newRawServer(t, func(run int64, _ *http.Request) string {
		switch {
		case run > answered:
			return ""
		case method == http.MethodHead:
			return okHead
		default:
			return ok
		}
	})
	s := newSender(t, Options{})
	c := callTo(server.server(), method, idempotent)
	for range answered {
		requireAnswer(t, s, c)
	}
	requireFailure(t, s, c, KindIncomplete, OutcomeUnknown)
	require.Equal(t, answered+1, server.runs.Load())
	reuses := uint64(0)
	if idempotent {
		reuses = uint64(answered)
	}
	require.Equal(t, reuses, s.Reuses.Load())
}
