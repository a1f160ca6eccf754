package infra

import (
	"encoding/json"
	"fmt"
	"time"
)

// Duration is a time.Duration that is encoded in JSON as text such as "1.5s".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (duration Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(duration).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (duration *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration; write for example \"1.5s\"", text)
	}
	*duration = Duration(parsed)
	return nil
}

// UnmarshalJSON implements json.Unmarshaler. Without it, the error for a JSON
// number would not say that a string is expected.
func (duration *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return fmt.Errorf("%s is not a duration; write for example \"1.5s\"", data)
	}
	return duration.UnmarshalText([]byte(text))
}
