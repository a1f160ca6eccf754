package patch

import (
	"strings"
	"unicode/utf8"

	"jacinthfront.dev/jacinthfront/internal/state/conf"
)

const (
	// maxNameLength bounds the length of names in bytes, since the names of all
	// adapters are kept in memory.
	maxNameLength = 128
	// maxTokens bounds rates and costs, so that a rate multiplied by a time of
	// more than a day still fits into 64 bits.
	maxTokens conf.Tokens = 1_000_000_000_000
)

func printable(text string) bool {
	return utf8.ValidString(text) && strings.IndexFunc(text, func(char rune) bool {
		return char <= ' ' || char == utf8.RuneError || char >= 0x7f && char < 0xa0
	}) < 0
}

// checkName rejects names that cannot be written in a URL path or a header, or as
// the adapter in adapter@version.
func checkName(field, name string) *Problem {
	if name == "" || len(name) > maxNameLength {
		return problemf(field, "must have 1 to %d bytes", maxNameLength)
	}
	if !printable(name) || strings.ContainsAny(name, "@/?#%\"\\,") {
		return problemf(field, "%q must consist of printable characters without spaces and without @ / ? # %% \" \\ ,", name)
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
