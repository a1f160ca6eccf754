package setup

import (
	"errors"
	"fmt"
	"math"
	"regexp"
	"strconv"
	"time"
)

// Period is a duration in a settings file. It accepts the forms of
// time.ParseDuration, and a decimal number with an exponent and one unit, such as
// "2.5e3ms". A value out of the range of time.Duration becomes the nearest one in
// range, and a positive value becomes at least a nanosecond.
type Period struct{ time.Duration }

// Number is a number in a settings file, with or without quotes. A number in
// quotes may be of any size; one out of the range of float64 becomes the nearest
// one in range.
type Number float64

var (
	errNoNumber   = errors.New("write a number, such as 58 or 0.2")
	periodPattern = regexp.MustCompile(`^([-+]?[0-9.]+(?:[eE][-+]?[0-9]+)?)(ns|us|ms|s|m|h)$`)
	units         = map[string]time.Duration{
		"ns": time.Nanosecond, "us": time.Microsecond, "ms": time.Millisecond,
		"s": time.Second, "m": time.Minute, "h": time.Hour,
	}
)

// UnmarshalText implements encoding.TextUnmarshaler.
func (period *Period) UnmarshalText(text []byte) error {
	parts := periodPattern.FindSubmatch(text)
	if parts == nil {
		parsed, err := time.ParseDuration(string(text))
		if err != nil {
			return fmt.Errorf("%q is no duration; write one with a unit, such as \"5s\"", text)
		}
		period.Duration = parsed
		return nil
	}
	var count Number
	if err := count.UnmarshalText(parts[1]); err != nil {
		return err
	}
	period.Duration = saturate(float64(count), units[string(parts[2])])
	return nil
}

// saturate returns count units as a duration, limited to the range of
// time.Duration. Positive results are at least a nanosecond.
func saturate(count float64, unit time.Duration) time.Duration {
	length := count * float64(unit)
	switch {
	case length >= math.MaxInt64:
		return math.MaxInt64
	case length <= math.MinInt64:
		return math.MinInt64
	case length > 0:
		return max(time.Duration(length), 1)
	default:
		return time.Duration(length)
	}
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (number *Number) UnmarshalText(text []byte) error {
	parsed, err := strconv.ParseFloat(string(text), 64)
	switch {
	case errors.Is(err, strconv.ErrRange):
		parsed = math.Copysign(math.MaxFloat64, parsed)
	case err != nil, math.IsNaN(parsed), math.IsInf(parsed, 0):
		return fmt.Errorf("%q: %w", text, errNoNumber)
	}
	*number = Number(parsed)
	return nil
}

// UnmarshalTOML implements toml.Unmarshaler.
func (number *Number) UnmarshalTOML(value any) error {
	switch value := value.(type) {
	case int64:
		*number = Number(value)
		return nil
	case float64:
		return number.UnmarshalText(strconv.AppendFloat(nil, value, 'g', -1, 64))
	case string:
		return number.UnmarshalText([]byte(value))
	default:
		return fmt.Errorf("%v: %w", value, errNoNumber)
	}
}
