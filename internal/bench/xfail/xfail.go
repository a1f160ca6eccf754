// Package xfail skips the tests that KNOWN-RED.txt lists.
package xfail

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const (
	// listFile is the name of the list in the module root.
	listFile = "KNOWN-RED.txt"
	// maxDepth is how many levels below the module root a package may lie.
	maxDepth = 8
)

// SkipIfListed skips a test and prints its entry if KNOWN-RED.txt lists it. An
// entry is a line that begins with the test's full name and a colon.
func SkipIfListed(t *testing.T) {
	t.Helper()
	for line := range strings.Lines(readList()) {
		if strings.HasPrefix(line, t.Name()+":") {
			entry := strings.TrimSpace(line)
			fmt.Println("known red:", entry)
			t.Skip(entry)
		}
	}
}

// readList returns the text of the list, or "" if there is none.
func readList() string {
	directory := "."
	for range maxDepth {
		if _, err := os.Stat(filepath.Join(directory, "go.mod")); err == nil {
			data, err := os.ReadFile(filepath.Join(directory, listFile))
			if err != nil {
				return ""
			}
			return string(data)
		}
		directory = filepath.Join(directory, "..")
	}
	return ""
}
