// Package figkey tells which client account a caller's key stands for, and ends
// the running requests of a key that is withdrawn. Secrets are kept as salted
// SHA-256 hashes; a comparison takes the same time for a known and an unknown
// key ID, so that callers can't probe for IDs.
//
// # Usage
//
// A key is made once, and its hash published with the client account:
//
//	made, err := figkey.New()
//	fmt.Println(made.Text) // shown to the operator, kept nowhere
//
// Each request is verified against the tree in force, and stays registered
// while it runs:
//
//	verified, err := figkey.Verify(tree, text)
//	ctx, cancel := context.WithCancelCause(ctx)
//	remove := sessions.Add(verified.ID, cancel)
//	defer remove()
//
// The configuration store calls sessions.Apply with each new tree.
package figkey

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"strings"

	"figtrail.dev/figtrail/internal/core/figerror"
)

const (
	// keyPrefix starts the text of every key.
	keyPrefix = "ft_"
	// idBytes is the size of a key's public part, before it is written in hex.
	idBytes = 8
	// secretBytes is the size of a key's secret part, before it is written in base64.
	secretBytes = 24
	// saltBytes is the size of the salt that goes before the secret in the hash.
	saltBytes = 16
	// maxKeyLength bounds the text of a key, so that a long header costs no hashing.
	maxKeyLength = 256
)

// Made is a new key with what has to be published for it.
type Made struct {
	// Text is what callers send. It can't be had back from the other fields.
	Text string
	// ID is the public part of the key.
	ID string
	// Salt goes before the secret part in the hash.
	Salt []byte
	// Hash is the SHA-256 of salt and secret.
	Hash []byte
}

// New makes a key from the system's random source.
func New() (Made, error) {
	random := make([]byte, idBytes+secretBytes+saltBytes)
	if _, err := rand.Read(random); err != nil {
		return Made{}, figerror.Wrap(err, "make key", "")
	}
	id := hex.EncodeToString(random[:idBytes])
	secret := base64.RawURLEncoding.EncodeToString(random[idBytes : idBytes+secretBytes])
	salt := random[idBytes+secretBytes:]
	return Made{
		Text: keyPrefix + id + "_" + secret,
		ID:   id,
		Salt: salt,
		Hash: Hash(salt, secret),
	}, nil
}

// Hash returns the SHA-256 of salt and secret.
func Hash(salt []byte, secret string) []byte {
	h := sha256.New()
	h.Write(salt)
	h.Write([]byte(secret))
	return h.Sum(nil)
}

// split returns the ID and the secret in the text of a key. The secret may hold
// underscores; the ID may not.
func split(text string) (id, secret string, ok bool) {
	if len(text) > maxKeyLength {
		return "", "", false
	}
	rest, ok := strings.CutPrefix(text, keyPrefix)
	if !ok {
		return "", "", false
	}
	id, secret, ok = strings.Cut(rest, "_")
	return id, secret, ok && id != "" && secret != ""
}
