package figstore

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"figtrail.dev/figtrail/internal/config/figplatform"
)

const (
	benchAccounts = 47_000
	perDocument   = 50
)

// benchDocument returns the text of one team's accounts; rate changes the last of them.
func benchDocument(team, rate int) string {
	var s strings.Builder
	r := rand.New(rand.NewPCG(uint64(team), 1))
	random := func(n int) []byte {
		b := make([]byte, n)
		for i := range b {
			b[i] = byte(r.Uint32())
		}
		return b
	}
	s.WriteString("accounts:\n")
	for i := range perDocument {
		fmt.Fprintf(&s, "  - name: a%d\n    tokensPerSecond: %d\n    pools: [p]\n    keys:\n      - id: k%dx%d\n"+
			"        salt: %x\n        hash: %x\n", i, 100+rate*(i/(perDocument-1)), team, i, random(16), random(32))
	}
	return s.String()
}

func heap() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) / (1 << 20)
}

// fullStore returns a store with benchAccounts accounts, and the version of its last value.
func fullStore(b *testing.B) (*Store, uint64) {
	b.Helper()
	s := New(Options{Self: "a"})
	values := make([]figplatform.Value, 0, 1+benchAccounts/perDocument)
	values = append(values, figplatform.Value{Path: "pools", Version: 1, Text: "pools: [{name: p, models: [m]}]\n"})
	for team := range benchAccounts / perDocument {
		values = append(values, figplatform.Value{
			Path: fmt.Sprintf("team%d/accounts", team), Version: uint64(team) + 2, Text: benchDocument(team, 0),
		})
	}
	s.applyValues(&figplatform.Values{Revision: uint64(len(values)), Values: values}, s.started)
	require.Equal(b, benchAccounts, s.Tree().AccountCount())
	return s, uint64(len(values))
}

// BenchmarkChange merges a change of one account among 47,000 and answers one peer that lacks it. It reports the
// size of the reply and the heap of the whole store.
func BenchmarkChange(b *testing.B) {
	before := heap()
	s, version := fullStore(b)
	held := heap() - before
	size := 0
	b.ReportAllocs()
	for b.Loop() {
		q := s.request()
		version++
		s.applyValues(&figplatform.Values{Revision: version, Values: []figplatform.Value{
			{Path: "team7/accounts", Version: version, Text: benchDocument(7, int(version))},
		}}, s.started)
		r, err := s.Answer(context.Background(), q)
		require.NoError(b, err)
		text, err := cbor.Marshal(r)
		require.NoError(b, err)
		size = len(text)
	}
	b.ReportMetric(float64(size), "replyBytes")
	b.ReportMetric(held, "heapMB")
}
