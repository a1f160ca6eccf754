package chaos

import (
	"path/filepath"
	"strings"
	"testing"

	"jacinthfront.dev/jacinthfront/internal/base/setup"
)

// TestExamples guards against example settings files that the processes reject.
func TestExamples(t *testing.T) {
	files, err := filepath.Glob("../../../examples/*/*.toml")
	if err != nil || len(files) < 6 {
		t.Fatalf("%d example files, %v", len(files), err)
	}
	for _, file := range files {
		if strings.HasPrefix(filepath.Base(file), "entry") {
			_, err = setup.LoadEntry(file)
		} else {
			_, err = setup.LoadSide(file)
		}
		if err != nil {
			t.Error(err)
		}
	}
}
