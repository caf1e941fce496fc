package customer

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	// secretBytes is the entropy of an issued secret, in bytes. With this much entropy, a fast hash
	// protects the secret as well as a slow one would.
	secretBytes = 32
	// secretPrefix marks a secret, so that log scanners can find it.
	secretPrefix = "kp-"
	// maxSecretLength is the length of the longest secret that is looked up, in bytes.
	maxSecretLength = 256
)

// Hash is the SHA-256 of a key's secret.
type Hash [sha256.Size]byte

// HashOf returns the hash of a secret.
func HashOf(secret string) Hash {
	return sha256.Sum256([]byte(secret))
}

// MarshalText implements encoding.TextMarshaler.
func (h Hash) MarshalText() ([]byte, error) {
	return hex.AppendEncode(nil, h[:]), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (h *Hash) UnmarshalText(text []byte) error {
	decoded, err := hex.DecodeString(string(text))
	if err != nil || len(decoded) != len(h) {
		return errors.Newf("hash %q must be %d hexadecimal digits", text, hex.EncodedLen(len(h)))
	}
	copy(h[:], decoded)
	return nil
}

// Key is an API key of a customer as the store holds it: with the hash of its secret instead of the
// secret.
type Key struct {
	ID        knapweedpulley.KeyID `json:"id"`
	Hash      Hash                 `json:"hash"`
	Withdrawn bool                 `json:"withdrawn,omitempty"`
}

// NewSecret returns a random secret for a new key.
func NewSecret() string {
	var b [secretBytes]byte
	_, _ = rand.Read(b[:])
	return secretPrefix + base64.RawURLEncoding.EncodeToString(b[:])
}
