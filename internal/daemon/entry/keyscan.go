package entry

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
)

const keyPrefix = "jf_"

// secretLength is the least length of a secret: 32 bytes in unpadded base64.
const secretLength = 43

// wellFormed reports whether text has the form jf_<id>_<secret>.
func wellFormed(text string) bool {
	rest, ok := strings.CutPrefix(text, keyPrefix)
	return ok && keyLength(rest) == len(rest)
}

// keyLength returns the length of the id and secret at the start of text, or 0
// when it does not start with them.
func keyLength[T string | []byte](text T) int {
	id := 0
	for id < len(text) && text[id] != '_' && keyByte(text[id]) {
		id++
	}
	if id == 0 || id == len(text) || text[id] != '_' {
		return 0
	}
	end := id + 1
	for end < len(text) && keyByte(text[end]) {
		end++
	}
	if end-id-1 < secretLength {
		return 0
	}
	return end
}

func keyByte(char byte) bool {
	return char >= '0' && char <= '9' || char >= 'a' && char <= 'z' || char >= 'A' && char <= 'Z' || char == '-' || char == '_'
}

// holdsKey reports whether something of the form of a key occurs in text.
func holdsKey(text []byte) bool {
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

// encodings bounds how often a key may be percent-encoded over.
const encodings = 3

// holdsKeyEncoded also finds keys behind percent encoding.
func holdsKeyEncoded(text string) bool {
	for range encodings {
		if holdsKey([]byte(text)) {
			return true
		}
		plain := unescape(text)
		if plain == text {
			return false
		}
		text = plain
	}
	return holdsKey([]byte(text))
}

// unescape decodes percent encoding and keeps what is no valid encoding, as
// lenient parsers of queries do.
func unescape(escaped string) string {
	at := strings.IndexByte(escaped, '%')
	if at < 0 {
		return escaped
	}
	text := []byte(escaped[:at])
	for at < len(escaped) {
		if value, ok := hexByte(escaped[at:]); ok {
			text, at = append(text, value), at+3
			continue
		}
		text = append(text, escaped[at])
		at++
	}
	return string(text)
}

func hexByte(text string) (byte, bool) {
	if len(text) < 3 || text[0] != '%' {
		return 0, false
	}
	value, err := strconv.ParseUint(text[1:3], 16, 8)
	return byte(value), err == nil
}

// holdsKeyJSON also finds keys behind JSON escapes.
func holdsKeyJSON(body []byte) bool {
	if holdsKey(body) {
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
		if text, ok := token.(string); ok && holdsKey([]byte(text)) {
			return true
		}
	}
}

func keyInRequest(place string) *fault.Fault {
	return fault.New(fault.KeyInRequest, fault.NotRun,
		"the %s holds a key; send keys in the header Authorization only, and replace this one", place)
}

// checkTransport checks what needs no configuration: the size of the headers
// and keys outside the header Authorization.
func (exchange *exchange) checkTransport() *fault.Fault {
	size := 0
	for name, values := range exchange.request.Header {
		for _, value := range values {
			size += len(name) + len(value) + len(": \r\n")
			if holdsKeyEncoded(name) || name != "Authorization" && holdsKeyEncoded(value) {
				return keyInRequest("header")
			}
		}
	}
	if limit := exchange.entry.config.Limits.MaxHeaderBytes; size > limit {
		return fault.New(fault.HeadersTooLarge, fault.NotRun, "the headers exceed %d bytes; send fewer or shorter ones", limit)
	}
	if holdsKeyEncoded(exchange.request.URL.RawQuery) {
		return keyInRequest("query")
	}
	if holdsKeyEncoded(exchange.request.URL.EscapedPath()) {
		return keyInRequest("path")
	}
	return nil
}
