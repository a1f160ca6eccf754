// Package xfail skips the tests that KNOWN-RED.txt lists.
package xfail

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// listFile is the path of the list from a package's directory. Every package with
// listed tests lies three levels below the module root.
const listFile = "../../../KNOWN-RED.txt"

// SkipIfListed skips a test and prints its entry if KNOWN-RED.txt lists it. An
// entry is a line that begins with the test's full name and a colon.
func SkipIfListed(t *testing.T) {
	t.Helper()
	data, err := os.ReadFile(listFile)
	if err != nil {
		return
	}
	for line := range strings.Lines(string(data)) {
		if strings.HasPrefix(line, t.Name()+":") {
			entry := strings.TrimSpace(line)
			fmt.Println("known red:", entry)
			t.Skip(entry)
		}
	}
}
