package engsim

import (
	"fmt"
	"strconv"
	"strings"
)

// AdapterRef identifies one version of an adapter.
type AdapterRef struct {
	Adapter string `json:"adapter"`
	Version uint32 `json:"version"`
}

// String returns the form adapter@version, which the model field of a request
// holds.
func (ref AdapterRef) String() string {
	return ref.Adapter + "@" + strconv.FormatUint(uint64(ref.Version), 10)
}

// parseRef parses the form adapter@version.
func parseRef(text string) (AdapterRef, error) {
	at := strings.LastIndexByte(text, '@')
	if at <= 0 {
		return AdapterRef{}, fmt.Errorf("model %q is not of the form adapter@version", text)
	}
	version, err := strconv.ParseUint(text[at+1:], 10, 32)
	if err != nil {
		return AdapterRef{}, fmt.Errorf("model %q: the version is not a number", text)
	}
	return AdapterRef{Adapter: text[:at], Version: uint32(version)}, nil
}
