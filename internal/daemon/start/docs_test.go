package start

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// TestMetricsDocumented guards against metrics that the operators' pages don't
// explain.
func TestMetricsDocumented(t *testing.T) {
	var page []byte
	for _, name := range []string{"OPERATING.md", "OPERATIONS.md"} {
		text, err := os.ReadFile("../../../docs/" + name)
		if err != nil {
			t.Fatal(err)
		}
		page = append(page, text...)
	}
	counted := regexp.MustCompile(`(?:[Cc]ounters\.(?:Add|Set)|\.count|\.increment|\.drop|metrics\.Add)\("([a-z-]+)"`)
	gauged := regexp.MustCompile(`metric\.SetGauge\("([a-z]+)", "([a-z-]+)"`)
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
				// One of the pages puts the component before the metric's name.
				if !strings.Contains(string(page), "."+match[1]) {
					t.Errorf("%s counts %q, which no page explains", file, match[1])
				}
			}
		}
		for _, match := range gauged.FindAllStringSubmatch(string(text), -1) {
			if name := match[1] + "." + match[2]; !strings.Contains(string(page), "`"+name+"`") {
				t.Errorf("%s sets %q, which no page explains", file, name)
			}
		}
	}
}
