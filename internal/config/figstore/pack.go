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
	// packAbove is the size of a text above which it travels compressed.
	packAbove = 512
	// maxText bounds a text of a value, which the service keeps to a megabyte.
	maxText = 2 << 20
)

var packers = sync.Pool{New: func() any {
	w, _ := flate.NewWriter(io.Discard, flate.BestSpeed)
	return w
}}

// pack returns the value as it travels.
func pack(v figplatform.Value) Value {
	out := Value{Path: v.Path, Version: v.Version, Deleted: v.Deleted}
	if len(v.Text) <= packAbove {
		out.Text = v.Text
		return out
	}
	var b bytes.Buffer
	w := packers.Get().(*flate.Writer)
	defer packers.Put(w)
	w.Reset(&b)
	// Writes to a buffer don't fail.
	_, _ = io.Copy(w, strings.NewReader(v.Text))
	_ = w.Close()
	out.Packed = b.Bytes()
	return out
}

// unpack is the inverse of pack.
func unpack(v Value) (figplatform.Value, error) {
	out := figplatform.Value{Path: v.Path, Version: v.Version, Text: v.Text, Deleted: v.Deleted}
	if v.Packed == nil {
		return out, nil
	}
	text, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(v.Packed)), maxText+1))
	if err == nil && len(text) > maxText {
		err = figerror.New("unpack", v.Path, "value is too large")
	}
	out.Text = string(text)
	return out, err
}
