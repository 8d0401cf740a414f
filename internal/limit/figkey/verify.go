package figkey

import (
	"crypto/sha256"
	"crypto/subtle"

	"figtrail.dev/figtrail/internal/config/figtree"
)

// Reason says why a key was refused. It is for metrics only: callers get the
// same answer for every reason.
type Reason uint8

const (
	// Malformed means that the text is no key at all, or absent.
	Malformed Reason = iota
	// Unknown means that no such key ID is published, or that the secret is wrong.
	Unknown
	// Withdrawn means that the key was right and is withdrawn.
	Withdrawn
)

// String returns the reason as metrics write it.
func (r Reason) String() string {
	return [...]string{"malformed", "unknown", "withdrawn"}[r]
}

// Refusal is the error for a key that admits nothing. Its text is the same for
// every reason.
type Refusal struct {
	// Reason is for metrics.
	Reason Reason
}

// Error returns a text that doesn't tell the reasons apart.
func (*Refusal) Error() string { return "key not accepted" }

// unknownKey stands in for a key ID that isn't published, so that its check
// takes as long as that of a published one.
var unknownKey = &figtree.Key{
	Salt: make([]byte, saltBytes),
	Hash: make([]byte, sha256.Size),
}

// Verify returns the published key that text belongs to. Any error is a *Refusal.
func Verify(t *figtree.Tree, text string) (*figtree.Key, error) {
	id, secret, ok := split(text)
	if !ok {
		return nil, &Refusal{Reason: Malformed}
	}
	key, known := t.Key(id)
	if !known {
		key = unknownKey
	}
	secretMatches := subtle.ConstantTimeCompare(Hash(key.Salt, secret), key.Hash) == 1
	if !known || !secretMatches {
		return nil, &Refusal{Reason: Unknown}
	}
	if key.Withdrawn {
		return nil, &Refusal{Reason: Withdrawn}
	}
	return key, nil
}
