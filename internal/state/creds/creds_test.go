package creds

import (
	"strings"
	"testing"

	"jacinthfront.dev/jacinthfront/internal/state/conf"
)

type keys map[string]conf.KeySpec

func (keys keys) Key(id string) (conf.KeySpec, bool) {
	spec, ok := keys[id]
	return spec, ok
}

// Guards against keys that are accepted although a part of the key is wrong or
// the key was withdrawn, and against specs that contain the secret.
func TestAuthenticate(t *testing.T) {
	key, spec := Issue("looms")
	for strings.ToUpper(spec.ID) == spec.ID {
		// One id in 1,800 consists of digits only and is the same in capitals.
		key, spec = Issue("looms")
	}
	other, otherSpec := Issue("looms")
	_, secret, _ := strings.Cut(strings.TrimPrefix(key, Prefix), "_")
	_, otherSecret, _ := strings.Cut(strings.TrimPrefix(other, Prefix), "_")
	withdrawn, _ := Issue("looms")
	known := keys{spec.ID: spec, otherSpec.ID: otherSpec}
	// The last character encodes two unused bits, which are 0.
	const alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_"
	last := strings.IndexByte(alphabet, key[len(key)-1])
	tests := []struct {
		name, key string
		ok        bool
	}{
		{"issued", key, true},
		{"withdrawn", withdrawn, false},
		{"other key's secret", Prefix + spec.ID + "_" + otherSecret, false},
		{"other key's id", Prefix + otherSpec.ID + "_" + secret, false},
		{"without prefix", strings.TrimPrefix(key, Prefix), false},
		{"id in capitals", Prefix + strings.ToUpper(spec.ID) + "_" + secret, false},
		{"short secret", key[:len(key)-1], false},
		{"longer secret", key + "A", false},
		{"unused bits set", key[:len(key)-1] + alphabet[last+1:last+2], false},
		{"empty", "", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got, err := Authenticate(known, test.key)
			if (err == nil) != test.ok || test.ok && got.ID != spec.ID {
				t.Errorf("got key %q, error %v", got.ID, err)
			}
			if err != nil && test.key != "" && strings.Contains(err.Error(), test.key) {
				t.Errorf("the error shows the key: %v", err)
			}
		})
	}
	if key == other || spec.Digest == otherSpec.Digest {
		t.Error("two keys are equal")
	}
	if _, raw, _ := Parse(key); strings.Contains(string(spec.Digest[:])+string(spec.Salt), string(raw)) {
		t.Error("the spec holds the secret")
	}
}
