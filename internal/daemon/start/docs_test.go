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
	// Each way of counting has a pattern of its own. The last group of a pattern is
	// the name of the metric, and a group before it that of its map.
	patterns := []*regexp.Regexp{
		regexp.MustCompile(`[Cc]ounters\.(?:Add|Set)\((?:fmt\.Sprintf\()?"([a-z-]+)`),
		regexp.MustCompile(`\.count\("([a-z-]+)`),
		regexp.MustCompile(`\.increment\("([a-z-]+)`),
		regexp.MustCompile(`metrics\.Add\("([a-z-]+)`),
		regexp.MustCompile(`metric\.SetGauge\("([a-z]+)", "([a-z-]+)"`),
	}
	files, err := filepath.Glob("../*/*.go")
	if err != nil || len(files) == 0 {
		t.Fatalf("%d files, %v", len(files), err)
	}
	matched := make([]int, len(patterns))
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for number, pattern := range patterns {
			for _, match := range pattern.FindAllStringSubmatch(string(text), -1) {
				matched[number]++
				if !explains(string(page), match[1:]) {
					t.Errorf("%s counts %q, which no page explains", file, strings.Join(match[1:], "."))
				}
			}
		}
	}
	for number, pattern := range patterns {
		if matched[number] == 0 {
			t.Errorf("no source matches the pattern %s", pattern)
		}
	}
}

// explains reports whether a page explains a metric, given by its name, or by its
// map and its name. One of the pages puts the map before the name.
func explains(page string, names []string) bool {
	if len(names) > 1 {
		return strings.Contains(page, "`"+strings.Join(names, ".")+"`")
	}
	return strings.Contains(page, "`"+names[0]) || strings.Contains(page, "."+names[0])
}
