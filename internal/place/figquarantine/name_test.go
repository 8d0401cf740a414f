package figquarantine

import (
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

// Evidence on a part with any id must be readable for other instances.
func TestRecordsOfOddNamesCanBeRead(t *testing.T) {
	for _, name := range []string{strings.Repeat("é", 40), "a" + strings.Repeat("é", 40), "\xff\xfe", strings.Repeat("\xf0\x9f", 40)} {
		now := time.Unix(1000, 0)
		from, to := NewTable(), NewTable()
		from.RecordCrash(now, "pool", "s@1", []string{name}, 0)
		text, err := cbor.Marshal(Update{Records: from.Records(now)})
		require.NoError(t, err)
		var u Update
		require.NoError(t, cbor.Unmarshal(text, &u), "%q", name)
		to.Merge(now, u.Records)
		require.Equal(t, 1, to.Len())
	}
}
