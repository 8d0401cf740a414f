package figkey

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"figtrail.dev/figtrail/internal/config/figtree"
)

// publish returns a configuration tree with the given keys under the account "a".
func publish(withdrawn bool, keys ...GeneratedKey) *figtree.Tree {
	var c figtree.Contents
	for _, m := range keys {
		c.Keys = append(c.Keys, &figtree.Key{ID: m.ID, Account: "a", Salt: m.Salt, Hash: m.Hash, Revoked: withdrawn})
	}
	return figtree.New(1, c)
}

func makeKey(t *testing.T) GeneratedKey {
	m, err := New()
	require.NoError(t, err)
	return m
}

func TestVerifyAcceptsAPublishedKey(t *testing.T) {
	m := makeKey(t)
	key, err := Verify(publish(false, m), m.Text)
	require.NoError(t, err)
	require.Equal(t, "a", key.Account)
	require.NotContains(t, string(m.Hash)+string(m.Salt), strings.SplitN(m.Text, "_", 3)[2])
}

func TestVerifyRejects(t *testing.T) {
	m, other := makeKey(t), makeKey(t)
	_, secret, _ := split(m.Text)
	tests := []struct {
		name string
		tree *figtree.Tree
		text string
		want Reason
	}{
		{"empty", publish(false, m), "", Malformed},
		{"no prefix", publish(false, m), strings.TrimPrefix(m.Text, keyPrefix), Malformed},
		{"no secret", publish(false, m), keyPrefix + m.ID + "_", Malformed},
		{"no id", publish(false, m), keyPrefix + "_" + secret, Malformed},
		{"too long", publish(false, m), m.Text + strings.Repeat("x", maxKeyLength), Malformed},
		{"unknown id", publish(false, m), other.Text, Unknown},
		{"wrong secret", publish(false, m), m.Text + "x", Unknown},
		{"other key's secret", publish(false, m, other), keyPrefix + other.ID + "_" + secret, Unknown},
		{"withdrawn", publish(true, m), m.Text, Withdrawn},
		{"withdrawn key, wrong secret", publish(true, m), m.Text + "x", Unknown},
		{"placeholder for unknown ids", publish(false, m), keyPrefix + "0_0", Unknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Verify(tt.tree, tt.text)
			var r *VerificationError
			require.ErrorAs(t, err, &r)
			require.Equal(t, tt.want, r.Reason)
			require.Equal(t, "key not accepted", err.Error())
		})
	}
}

func TestApplyCancelsRequestsOfWithdrawnAndRemovedKeys(t *testing.T) {
	kept, gone := makeKey(t), makeKey(t)
	s := NewRunningRequests()
	causes := map[string]error{}
	add := func(name, id string) func() {
		return s.Add(id, func(err error) { causes[name] = err })
	}
	add("kept", kept.ID)
	add("first", gone.ID)
	add("second", gone.ID)
	remove := add("finished", gone.ID)
	remove()
	remove()

	require.Equal(t, 2, s.Apply(publish(false, kept)))
	require.Equal(t, map[string]error{"first": ErrWithdrawn, "second": ErrWithdrawn}, causes)
	require.Equal(t, 1, s.Len())

	add("late", gone.ID)
	require.ErrorIs(t, causes["late"], ErrWithdrawn)

	require.Equal(t, 1, s.Apply(publish(true, kept)))
	require.Zero(t, s.Len())
}
