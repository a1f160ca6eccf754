package model

import (
	"fmt"
	"strconv"
	"strings"
)

// Ref names an adapter in one version.
type Ref struct {
	Adapter string `json:"adapter"`
	Version uint32 `json:"version"`
}

// String returns the form that requests use, adapter@version.
func (ref Ref) String() string {
	return ref.Adapter + "@" + strconv.FormatUint(uint64(ref.Version), 10)
}

// parseRef reads the form adapter@version.
func parseRef(text string) (Ref, error) {
	at := strings.LastIndexByte(text, '@')
	if at <= 0 {
		return Ref{}, fmt.Errorf("model %q is not of the form adapter@version", text)
	}
	version, err := strconv.ParseUint(text[at+1:], 10, 32)
	if err != nil {
		return Ref{}, fmt.Errorf("model %q: the version is not a number", text)
	}
	return Ref{Adapter: text[:at], Version: uint32(version)}, nil
}
