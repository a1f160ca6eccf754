// Package creds issues callers' keys and checks them against their digests.
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
	// maxKeyLength bounds the work on a header that holds no key.
	maxKeyLength = 128
)

// Keys looks a key up by its id.
type Keys interface {
	Key(id string) (conf.KeySpec, bool)
}

// Issue generates a key for an organisation. The key itself is returned once
// and kept nowhere; the spec holds only its salted digest.
func Issue(organisation string) (string, conf.KeySpec) {
	id, secret, salt := random(idSize), random(secretSize), random(saltSize)
	spec := conf.KeySpec{
		ID:           hex.EncodeToString(id),
		Organisation: organisation,
		Salt:         salt,
		Digest:       Digest(salt, secret),
	}
	return Format(spec.ID, secret), spec
}

// Format returns the written form of a key.
func Format(id string, secret []byte) string {
	return Prefix + id + "_" + base64.RawURLEncoding.EncodeToString(secret)
}

// Parse splits a key into its id and secret.
func Parse(key string) (id string, secret []byte, ok bool) {
	if len(key) > maxKeyLength {
		return "", nil, false
	}
	rest, ok := strings.CutPrefix(key, Prefix)
	if !ok {
		return "", nil, false
	}
	// The id is hexadecimal, so the first underscore ends it even though the
	// secret's alphabet contains underscores.
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

// Check compares a secret with the digest of a key in constant time.
func Check(spec conf.KeySpec, secret []byte) bool {
	digest := Digest(spec.Salt, secret)
	return hmac.Equal(digest[:], spec.Digest[:])
}

// absent stands for a key that is not configured, so that an unknown id costs
// as much time as a wrong secret.
var absent = conf.KeySpec{Salt: make([]byte, saltSize)}

// Authenticate returns the configured key that was presented.
func Authenticate(keys Keys, presented string) (conf.KeySpec, error) {
	id, secret, ok := Parse(presented)
	if !ok {
		return conf.KeySpec{}, refuse()
	}
	spec, known := keys.Key(id)
	if !known {
		spec = absent
	}
	if !Check(spec, secret) || !known {
		return conf.KeySpec{}, refuse()
	}
	return spec, nil
}

func refuse() error {
	return fault.New(fault.Unauthenticated, fault.NotRun,
		"the key is malformed, unknown or withdrawn; send a valid key as 'Authorization: Bearer %s<id>_<secret>'", Prefix)
}

func random(size int) []byte {
	data := make([]byte, size)
	// Read never fails: crypto/rand ends the process when the system has no
	// random bytes.
	_, _ = rand.Read(data)
	return data
}
