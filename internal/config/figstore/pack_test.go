package figstore

import (
	"bytes"
	"compress/flate"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"figtrail.dev/figtrail/internal/config/figplatform"
)

func TestCompress(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := figplatform.Value{
			Path:    "a/x",
			Version: rapid.Uint64().Draw(t, "version"),
			Text:    strings.Repeat(rapid.String().Draw(t, "text"), rapid.IntRange(0, 200).Draw(t, "times")),
			Deleted: rapid.Bool().Draw(t, "deleted"),
		}
		back, err := decompress(compress(v))
		require.NoError(t, err)
		require.Equal(t, v, back)
	})
}

func TestDecompressRejects(t *testing.T) {
	_, err := decompress(Value{Path: "a/x", Packed: []byte{0xff, 0xff}})
	require.Error(t, err)
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	require.NoError(t, err)
	_, err = w.Write(make([]byte, maxTextBytes+1))
	require.NoError(t, err)
	require.NoError(t, w.Close())
	_, err = decompress(Value{Path: "a/x", Packed: b.Bytes()})
	require.ErrorContains(t, err, "too large")
}
