package relay

import (
	"fmt"
	"net/url"
	"strconv"
	"time"
)

// maxQueryBytes limits the length of a description.
const maxQueryBytes = 4 << 10

// Query describes a request that is to be explained.
type Query struct {
	// Route is the name of a route. If it is empty, Host and Path select one.
	Route string
	Host  string
	Path  string
	// Service is one of the route's services, empty for the one with the most requests.
	Service string
	// Organisation is a name, empty for none.
	Organisation string
	Model        string
	Adapter      string
	PromptTokens int64
	OutputTokens int64
	// Timeout is how long the caller waits, 0 if it does not say.
	Timeout time.Duration
}

// Values returns the query string of a description.
func (query Query) Values() url.Values {
	values := make(url.Values)
	for name, field := range query.fields() {
		if text := field.text(); text != "" {
			values.Set(name, text)
		}
	}
	return values
}

// ParseQuery reads a description. Its errors name what is wrong.
func ParseQuery(values url.Values) (Query, error) {
	var query Query
	fields := query.fields()
	for name, given := range values {
		field, ok := fields[name]
		if !ok {
			return Query{}, fmt.Errorf("unknown parameter %q", name)
		}
		if len(given) != 1 || field.parse(given[0]) != nil {
			return Query{}, fmt.Errorf("parameter %s is not one %s", name, field.kind)
		}
	}
	if (query.Route == "") == (query.Host == "" && query.Path == "") {
		return Query{}, fmt.Errorf("name either the route, or host and path")
	}
	return query, nil
}

// queryField converts a field of a Query to and from text. Empty text is the zero value.
type queryField struct {
	kind  string
	text  func() string
	parse func(text string) error
}

func (query *Query) fields() map[string]queryField {
	return map[string]queryField{
		"route": textField(&query.Route), "host": textField(&query.Host), "path": textField(&query.Path),
		"service": textField(&query.Service), "organisation": textField(&query.Organisation),
		"model": textField(&query.Model), "adapter": textField(&query.Adapter),
		"prompt-tokens": countField(&query.PromptTokens), "output-tokens": countField(&query.OutputTokens),
		"timeout": timeField(&query.Timeout),
	}
}

func textField(value *string) queryField {
	return queryField{"text", func() string { return *value }, func(text string) error { *value = text; return nil }}
}

func countField(value *int64) queryField {
	format := func() string {
		if *value == 0 {
			return ""
		}
		return strconv.FormatInt(*value, 10)
	}
	return queryField{"number of at most 31 bits", format, func(text string) error {
		parsed, err := strconv.ParseUint(text, 10, 31)
		*value = int64(parsed)
		return err
	}}
}

func timeField(value *time.Duration) queryField {
	format := func() string {
		if *value == 0 {
			return ""
		}
		return value.String()
	}
	return queryField{"duration of at least 0, such as 8s", format, func(text string) (err error) {
		if *value, err = time.ParseDuration(text); err == nil && *value < 0 {
			err = strconv.ErrRange
		}
		return err
	}}
}
