package entry

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
)

const keyPrefix = "jf_"

// minSecretLength is the least length of a secret: 32 bytes in unpadded base64.
const minSecretLength = 43

// isWellFormedKey reports whether text has the form jf_<id>_<secret>.
func isWellFormedKey(text string) bool {
	rest, ok := strings.CutPrefix(text, keyPrefix)
	return ok && keyLength(rest) == len(rest)
}

// keyLength returns the length of the id and secret at the start of text, or 0 if
// text does not start with them.
func keyLength[T string | []byte](text T) int {
	id := 0
	for id < len(text) && text[id] != '_' && isKeyByte(text[id]) {
		id++
	}
	if id == 0 || id == len(text) || text[id] != '_' {
		return 0
	}
	end := id + 1
	for end < len(text) && isKeyByte(text[end]) {
		end++
	}
	if end-id-1 < minSecretLength {
		return 0
	}
	return end
}

func isKeyByte(char byte) bool {
	return char >= '0' && char <= '9' || char >= 'a' && char <= 'z' || char >= 'A' && char <= 'Z' || char == '-' || char == '_'
}

// containsKey reports whether text contains a substring of the form of a key.
func containsKey(text []byte) bool {
	for {
		at := bytes.Index(text, []byte(keyPrefix))
		if at < 0 {
			return false
		}
		text = text[at+len(keyPrefix):]
		if keyLength(text) > 0 {
			return true
		}
	}
}

// maxDecodings bounds the layers of percent encoding that are decoded in the
// search for keys.
const maxDecodings = 3

// containsEncodedKey also finds keys that are percent-encoded.
func containsEncodedKey(text string) bool {
	for range maxDecodings {
		if containsKey([]byte(text)) {
			return true
		}
		plain := percentDecode(text)
		if plain == text {
			return false
		}
		text = plain
	}
	return containsKey([]byte(text))
}

// percentDecode decodes percent encoding and keeps invalid escapes as they are,
// like lenient parsers of queries.
func percentDecode(escaped string) string {
	at := strings.IndexByte(escaped, '%')
	if at < 0 {
		return escaped
	}
	text := []byte(escaped[:at])
	for at < len(escaped) {
		if value, ok := decodeEscape(escaped[at:]); ok {
			text, at = append(text, value), at+3
			continue
		}
		text = append(text, escaped[at])
		at++
	}
	return string(text)
}

func decodeEscape(text string) (byte, bool) {
	if len(text) < 3 || text[0] != '%' {
		return 0, false
	}
	value, err := strconv.ParseUint(text[1:3], 16, 8)
	return byte(value), err == nil
}

// containsKeyInJSON also finds keys that are written with JSON escapes.
func containsKeyInJSON(body []byte) bool {
	if containsKey(body) {
		return true
	}
	if !bytes.ContainsRune(body, '\\') {
		return false
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	for {
		token, err := decoder.Token()
		if err != nil {
			return false
		}
		if text, ok := token.(string); ok && containsKey([]byte(text)) {
			return true
		}
	}
}

func keyInRequestFault(location string) *fault.Fault {
	return fault.New(fault.KeyInRequest, fault.NotRun,
		"the %s holds a key; send keys in the header Authorization only, and replace this one", location)
}

// checkHeadersAndURL checks the size of the headers, and that there is no key in
// the URL or in a header other than Authorization. It needs no configuration.
func (exchange *exchange) checkHeadersAndURL() *fault.Fault {
	size := 0
	for name, values := range exchange.request.Header {
		for _, value := range values {
			size += len(name) + len(value) + len(": \r\n")
			if containsEncodedKey(name) || name != "Authorization" && containsEncodedKey(value) {
				return keyInRequestFault("header")
			}
		}
	}
	if limit := exchange.entry.config.Limits.MaxHeaderBytes; size > limit {
		return fault.New(fault.HeadersTooLarge, fault.NotRun, "the headers exceed %d bytes; send fewer or shorter ones", limit)
	}
	if containsEncodedKey(exchange.request.URL.RawQuery) {
		return keyInRequestFault("query")
	}
	if containsEncodedKey(exchange.request.URL.EscapedPath()) {
		return keyInRequestFault("path")
	}
	return nil
}
