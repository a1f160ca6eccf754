package start

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// TestMetricsDocumented guards against metrics that operators find on no page.
func TestMetricsDocumented(t *testing.T) {
	page, err := os.ReadFile("../../../docs/OPERATING.md")
	if err != nil {
		t.Fatal(err)
	}
	counted := regexp.MustCompile(`(?:Counters\.Add|\.count|\.drop|metrics\.Add)\("([a-z-]+)"`)
	files, err := filepath.Glob("../*/*.go")
	if err != nil || len(files) == 0 {
		t.Fatalf("%d files, %v", len(files), err)
	}
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for _, match := range counted.FindAllStringSubmatch(string(text), -1) {
			if !strings.Contains(string(page), "`"+match[1]) {
				t.Errorf("%s counts %q, which docs/OPERATING.md does not explain", file, match[1])
			}
		}
	}
}
