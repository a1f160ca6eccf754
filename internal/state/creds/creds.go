// Package creds issues callers' API keys and authenticates requests by them. A
// key is written as the prefix "jf_", the key's id, "_" and the secret.
package creds

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"strings"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
	"jacinthfront.dev/jacinthfront/internal/state/conf"
)

// Prefix starts every key.
const Prefix = "jf_"

const (
	idSize     = 8
	secretSize = 32
	saltSize   = 16
	// maxKeyLength bounds the time spent on a header that is not a key.
	maxKeyLength = 128
)

// Keys looks a key up by its id.
type Keys interface {
	Key(id string) (conf.KeySpec, bool)
}

// Issue generates a key for an organisation. It returns the key as the caller
// sends it, which is not stored anywhere, and the spec to configure, which
// holds only a salted digest of the secret.
func Issue(organisation string) (string, conf.KeySpec) {
	id, secret, salt := randomBytes(idSize), randomBytes(secretSize), randomBytes(saltSize)
	spec := conf.KeySpec{
		ID:           hex.EncodeToString(id),
		Organisation: organisation,
		Salt:         salt,
		Digest:       Digest(salt, secret),
	}
	return Format(spec.ID, secret), spec
}

// Format returns a key in the form that callers send.
func Format(id string, secret []byte) string {
	return Prefix + id + "_" + base64.RawURLEncoding.EncodeToString(secret)
}

// Parse splits a key into its id and secret. ok is false if the key is
// malformed.
func Parse(key string) (id string, secret []byte, ok bool) {
	if len(key) > maxKeyLength {
		return "", nil, false
	}
	rest, ok := strings.CutPrefix(key, Prefix)
	if !ok {
		return "", nil, false
	}
	// The id is hexadecimal, so the first underscore is its end. The secret may
	// contain underscores too.
	id, encoded, ok := strings.Cut(rest, "_")
	if !ok || !ValidID(id) {
		return "", nil, false
	}
	secret, err := base64.RawURLEncoding.Strict().DecodeString(encoded)
	if err != nil || len(secret) != secretSize {
		return "", nil, false
	}
	return id, secret, true
}

// ValidID reports whether id has the form of a key id.
func ValidID(id string) bool {
	if len(id) != 2*idSize {
		return false
	}
	return strings.IndexFunc(id, func(char rune) bool {
		return (char < '0' || char > '9') && (char < 'a' || char > 'f')
	}) < 0
}

// Digest returns the HMAC-SHA-256 of the secret under the salt.
func Digest(salt, secret []byte) [conf.DigestSize]byte {
	mac := hmac.New(sha256.New, salt)
	mac.Write(secret)
	return [conf.DigestSize]byte(mac.Sum(nil))
}

// Check reports whether the secret matches the digest of a key. It compares in
// constant time.
func Check(spec conf.KeySpec, secret []byte) bool {
	digest := Digest(spec.Salt, secret)
	return hmac.Equal(digest[:], spec.Digest[:])
}

// unknownKey is checked in place of a key that is not configured, so that
// requests with an unknown id take as long as those with a wrong secret and
// don't reveal which ids exist.
var unknownKey = conf.KeySpec{Salt: make([]byte, saltSize)}

// Authenticate returns the configuration of the presented key. Its error is a
// fault of kind Unauthenticated if the key is malformed or unknown, or the
// secret is wrong.
func Authenticate(keys Keys, presented string) (conf.KeySpec, error) {
	id, secret, ok := Parse(presented)
	if !ok {
		return conf.KeySpec{}, invalidKey()
	}
	spec, known := keys.Key(id)
	if !known {
		spec = unknownKey
	}
	if !Check(spec, secret) || !known {
		return conf.KeySpec{}, invalidKey()
	}
	return spec, nil
}

func invalidKey() error {
	return fault.New(fault.Unauthenticated, fault.NotRun,
		"the key is malformed, unknown or withdrawn; send a valid key as 'Authorization: Bearer %s<id>_<secret>'", Prefix)
}

func randomBytes(size int) []byte {
	data := make([]byte, size)
	// Read never returns an error: crypto/rand ends the process if the system
	// cannot provide random bytes.
	_, _ = rand.Read(data)
	return data
}
