package figquota

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"figtrail.dev/figtrail/internal/limit/figlimiter"
)

// An instance of a build that doesn't know NotOwner must not take it for a refusal of the account's request.
func TestNotOwnerIsNoRefusalForOlderBuilds(t *testing.T) {
	text, err := cbor.Marshal(&Verdict{NotOwner: true})
	require.NoError(t, err)
	var old struct {
		Decision figlimiter.Decision `cbor:"1,keyasint"`
		Wait     time.Duration       `cbor:"2,keyasint,omitempty"`
	}
	if cbor.Unmarshal(text, &old) == nil {
		require.NotEqual(t, figlimiter.Refused, old.Decision)
	}
}
