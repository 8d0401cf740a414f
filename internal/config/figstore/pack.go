package figstore

import (
	"bytes"
	"compress/flate"
	"io"
	"strings"
	"sync"

	"figtrail.dev/figtrail/internal/config/figplatform"
	"figtrail.dev/figtrail/internal/core/figerror"
)

const (
	// maxPlainBytes is the largest text that is sent uncompressed.
	maxPlainBytes = 512
	// maxTextBytes bounds a decompressed text. The service limits texts to one megabyte.
	maxTextBytes = 2 << 20
)

var flateWriters = sync.Pool{New: func() any {
	w, _ := flate.NewWriter(io.Discard, flate.BestSpeed)
	return w
}}

// compress returns the wire form of v; texts longer than maxPlainBytes are compressed.
func compress(v figplatform.Value) Value {
	out := Value{Path: v.Path, Version: v.Version, Deleted: v.Deleted}
	if len(v.Text) <= maxPlainBytes {
		out.Text = v.Text
		return out
	}
	var b bytes.Buffer
	w := flateWriters.Get().(*flate.Writer)
	defer flateWriters.Put(w)
	w.Reset(&b)
	// Writes to a buffer don't fail.
	_, _ = io.Copy(w, strings.NewReader(v.Text))
	_ = w.Close()
	out.Packed = b.Bytes()
	return out
}

// decompress is the inverse of compress. It fails on invalid data and on texts longer than maxTextBytes.
func decompress(v Value) (figplatform.Value, error) {
	out := figplatform.Value{Path: v.Path, Version: v.Version, Text: v.Text, Deleted: v.Deleted}
	if v.Packed == nil {
		return out, nil
	}
	text, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(v.Packed)), maxTextBytes+1))
	if err == nil && len(text) > maxTextBytes {
		err = figerror.New("unpack", v.Path, "decompressed value is too large")
	}
	out.Text = string(text)
	return out, err
}
