package patch

import (
	"strings"
	"unicode/utf8"

	"jacinthfront.dev/jacinthfront/internal/state/conf"
)

const (
	// maxNameLength bounds names, which are kept for every adapter.
	maxNameLength = 128
	// maxTokens keeps rate × time within 64 bits for more than a day.
	maxTokens conf.Tokens = 1_000_000_000_000
)

func printable(text string) bool {
	return utf8.ValidString(text) && strings.IndexFunc(text, func(char rune) bool {
		return char <= ' ' || char == utf8.RuneError || char >= 0x7f && char < 0xa0
	}) < 0
}

// checkName refuses names that cannot be written in a URL path, a header or as
// adapter@version.
func checkName(field, name string) *Problem {
	if name == "" || len(name) > maxNameLength {
		return refuse(field, "must have 1 to %d bytes", maxNameLength)
	}
	if !printable(name) || strings.ContainsAny(name, "@/?#%\"\\,") {
		return refuse(field, "%q must consist of printable characters without spaces and without @ / ? # %% \" \\ ,", name)
	}
	return nil
}

func checkOptionalName(field, name string) *Problem {
	if name == "" {
		return nil
	}
	return checkName(field, name)
}

func firstProblem(problems ...*Problem) *Problem {
	for _, problem := range problems {
		if problem != nil {
			return problem
		}
	}
	return nil
}
