package figemulator

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestPlain(t *testing.T) {
	cases := []struct {
		kind   FaultKind
		status int
		failed bool
		calls  int
	}{
		{"", http.StatusOK, false, 1},
		{Cut, http.StatusOK, true, 1},
		{Refuse, http.StatusTooManyRequests, false, 0},
		{ReadAndClose, 0, true, 1},
		{Crossed, http.StatusOK, false, 1},
	}
	for _, c := range cases {
		t.Run(string(c.kind), func(t *testing.T) {
			p, err := StartPlainService(PlainOptions{Name: "desk"})
			require.NoError(t, err)
			t.Cleanup(func() { require.NoError(t, p.Close()) })
			p.Faults.Set(Fault{Kind: c.kind, Count: 1})
			status, body, err := ask(t.Context(), p.Address(), "/refund?x=1", "r1", "cup-7")
			require.Equal(t, c.failed, err != nil)
			require.Equal(t, c.status, status)
			require.Equal(t, c.calls, p.Run("cup-7").Calls)
			if c.kind == "" {
				require.Contains(t, body, PlainAnswer(http.MethodPost, "/refund?x=1", "cup-7"))
			}
			if c.kind == Crossed {
				require.NotContains(t, body, PlainAnswer(http.MethodPost, "/refund?x=1", "cup-7"))
			}
		})
	}
}
