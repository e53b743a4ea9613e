package checker

import (
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// sortedMatches returns the first group of each match, sorted and without
// duplicates.
func sortedMatches(text, pattern string) []string {
	var names []string
	for _, m := range regexp.MustCompile(pattern).FindAllStringSubmatch(text, -1) {
		names = append(names, m[1])
	}
	slices.Sort(names)
	return slices.Compact(names)
}

func readFile(t *testing.T, path string) string {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatalf("read: %v", err)
	}
	return string(text)
}

// TestPageListsFileFields checks that the table of the operators' page lists
// exactly the names that the checker requests from the parser.
func TestPageListsFileFields(t *testing.T) {
	page := readFile(t, "../docs/operators/publishing.md")
	_, table, _ := strings.Cut(page, "## What a file declares")
	table, _, _ = strings.Cut(table, "\n\n`weight`")
	got := append(sortedMatches(table, "(?m)^\\| `([a-z]+)`"), sortedMatches(table, `"([a-z]+)"`)...)
	slices.Sort(got)
	got = slices.Compact(got)
	want := sortedMatches(readFile(t, "checker.go"), `(?:p\.[A-Z][a-z]+\(|c\.parseName\(p, |parseHashes\(p, |declareField\(p, t, )"([a-z]+)"`)
	if !slices.Equal(got, want) {
		t.Errorf("documented names: got %v, want %v", got, want)
	}
}

// TestPagesNameKnownMetrics checks that each counter of ended jobs and each
// reason of a failed attempt that the operators' pages name exists in the code.
func TestPagesNameKnownMetrics(t *testing.T) {
	known := append(sortedMatches(readFile(t, "../outcome.go"), `Code = +"([a-z-]+)"`), "complete")
	reasons := sortedMatches(readFile(t, "../attempt.go"), `EndReason = "([a-z-]+)"`)
	pages := readFile(t, "../docs/operators/administration.md") + readFile(t, "../docs/operators/incidents.md")
	codes := sortedMatches(pages, "`jobs\\.([a-z-]+)`")
	for _, code := range codes {
		if !slices.Contains(known, code) {
			t.Errorf("pages name the metric jobs.%s, want one of %v", code, known)
		}
	}
	for _, reason := range sortedMatches(pages, "`attempts\\.(?:not-started|lost)\\.([a-z-]+)`") {
		if !slices.Contains(reasons, reason) {
			t.Errorf("pages name the reason %s, want one of %v", reason, reasons)
		}
	}
	if len(codes) < 3 {
		t.Errorf("codes in the pages: got %v, want several", codes)
	}
}
