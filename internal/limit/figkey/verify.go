package figkey

import (
	"crypto/sha256"
	"crypto/subtle"

	"figtrail.dev/figtrail/internal/config/figtree"
)

// Reason says why a key was rejected. It is for metrics only: callers get the same answer for
// every reason.
type Reason uint8

const (
	// Malformed means that the text is absent or doesn't have the form of a key.
	Malformed Reason = iota
	// Unknown means that the key ID is not published, or that the secret is wrong.
	Unknown
	// Withdrawn means that ID and secret are right, but the key is revoked.
	Withdrawn
)

// String returns the reason as it appears in metrics.
func (r Reason) String() string {
	return [...]string{"malformed", "unknown", "withdrawn"}[r]
}

// VerificationError is the error for a rejected key. Its text is the same for every reason.
type VerificationError struct {
	// Reason is for metrics.
	Reason Reason
}

// Error returns the same text for every reason, so that it doesn't reveal which key IDs exist.
func (*VerificationError) Error() string { return "key not accepted" }

// unknownKey replaces a key ID that isn't published, so that verifying takes as long as for a
// published one.
var unknownKey = &figtree.Key{
	Salt: make([]byte, saltBytes),
	Hash: make([]byte, sha256.Size),
}

// Verify returns the published key that text belongs to. Any error is a *VerificationError.
func Verify(t *figtree.Tree, text string) (*figtree.Key, error) {
	id, secret, ok := split(text)
	if !ok {
		return nil, &VerificationError{Reason: Malformed}
	}
	key, known := t.Key(id)
	if !known {
		key = unknownKey
	}
	secretMatches := subtle.ConstantTimeCompare(Hash(key.Salt, secret), key.Hash) == 1
	if !known || !secretMatches {
		return nil, &VerificationError{Reason: Unknown}
	}
	if key.Revoked {
		return nil, &VerificationError{Reason: Withdrawn}
	}
	return key, nil
}
