package figbudget

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestEstimateTokens(t *testing.T) {
	tests := []struct {
		text string
		want int64
	}{
		{"", 0},
		{"cat", 1},
		{"cats", 2},
		{"cat cat", 3},
		{"2024", 4},
		{"ü", 1},
		{"契約", 3},
		{"a, b", 4},
		{strings.Repeat(" ", 100), 1},
	}
	for _, tt := range tests {
		require.Equal(t, tt.want, EstimateTokens([]byte(tt.text)), tt.text)
	}
}

func TestEstimateTokensIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.String().Draw(t, "text")
		n := EstimateTokens([]byte(text))
		require.LessOrEqual(t, n, int64(len(text)))
		solid := strings.Join(strings.Fields(text), "")
		require.GreaterOrEqual(t, 3*n, int64(len(solid)))
	})
}
