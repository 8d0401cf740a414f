// Package figkey generates API keys, authenticates callers by key, and cancels the running requests
// of revoked keys. Each key belongs to a client account. Secrets are stored as salted SHA-256
// hashes. Verifying takes the same time for known and unknown key IDs, so that callers can't probe
// for IDs.
//
// # Usage
//
// A key is generated once, and its ID, salt and hash are published with the client account:
//
//	key, err := figkey.New()
//	fmt.Println(key.Text) // shown to the operator, not stored
//
// Each request is verified against the current configuration tree, and stays registered while it
// runs:
//
//	running := figkey.NewRunningRequests() // once per instance
//	verified, err := figkey.Verify(tree, text)
//	ctx, cancel := context.WithCancelCause(ctx)
//	remove := running.Add(verified.ID, cancel)
//	defer remove()
//
// The configuration store calls running.Apply with each new tree.
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
	// idBytes is the size of a key's public ID before hex encoding.
	idBytes = 8
	// secretBytes is the size of a key's secret before base64 encoding.
	secretBytes = 24
	// saltBytes is the size of the salt that is hashed before the secret.
	saltBytes = 16
	// maxKeyLength bounds the text of a key in bytes, so that a long header isn't hashed.
	maxKeyLength = 256
)

// GeneratedKey is a new key with the values to publish for it.
type GeneratedKey struct {
	// Text is the key as callers send it. It can't be recovered from the other fields.
	Text string
	// ID is the public part of the key.
	ID string
	// Salt is hashed before the secret.
	Salt []byte
	// Hash is the SHA-256 of salt and secret.
	Hash []byte
}

// New generates a key from the system's random source.
func New() (GeneratedKey, error) {
	random := make([]byte, idBytes+secretBytes+saltBytes)
	if _, err := rand.Read(random); err != nil {
		return GeneratedKey{}, figerror.Wrap(err, "make key", "")
	}
	id := hex.EncodeToString(random[:idBytes])
	secret := base64.RawURLEncoding.EncodeToString(random[idBytes : idBytes+secretBytes])
	salt := random[idBytes+secretBytes:]
	return GeneratedKey{
		Text: keyPrefix + id + "_" + secret,
		ID:   id,
		Salt: salt,
		Hash: Hash(salt, secret),
	}, nil
}

// Hash returns the SHA-256 of salt followed by secret.
func Hash(salt []byte, secret string) []byte {
	h := sha256.New()
	h.Write(salt)
	h.Write([]byte(secret))
	return h.Sum(nil)
}

// split returns the ID and the secret from the text of a key; ok is false if the text is
// malformed. The secret may contain underscores, the ID may not.
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
