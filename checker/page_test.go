package checker

import (
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// namesIn returns the first group of each match, sorted, each once.
func namesIn(text, pattern string) []string {
	var names []string
	for _, m := range regexp.MustCompile(pattern).FindAllStringSubmatch(text, -1) {
		names = append(names, m[1])
	}
	slices.Sort(names)
	return slices.Compact(names)
}

func read(t *testing.T, path string) string {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatalf("read: %v", err)
	}
	return string(text)
}

// TestPageNamesWhatAFileMayDeclare compares the table with the names that the
// checker asks the parser for.
func TestPageNamesWhatAFileMayDeclare(t *testing.T) {
	page := read(t, "../docs/operators/publishing.md")
	_, table, _ := strings.Cut(page, "## What a file declares")
	table, _, _ = strings.Cut(table, "\n\n`weight`")
	got := append(namesIn(table, "(?m)^\\| `([a-z]+)`"), namesIn(table, `"([a-z]+)"`)...)
	slices.Sort(got)
	got = slices.Compact(got)
	want := namesIn(read(t, "checker.go"), `(?:p\.[A-Z][a-z]+\(|c\.name\(p, |hashes\(p, |once\(p, t, )"([a-z]+)"`)
	if !slices.Equal(got, want) {
		t.Errorf("documented names: got %v, want %v", got, want)
	}
}

// TestPagesNameKnownCodes wants that each counter of ended jobs that a page
// names is one that can be counted.
func TestPagesNameKnownCodes(t *testing.T) {
	known := append(namesIn(read(t, "../outcome.go"), `Code = +"([a-z-]+)"`), "complete")
	reasons := namesIn(read(t, "../attempt.go"), `EndReason = "([a-z-]+)"`)
	pages := read(t, "../docs/operators/administration.md") + read(t, "../docs/operators/incidents.md")
	codes := namesIn(pages, "`jobs\\.([a-z-]+)`")
	for _, code := range codes {
		if !slices.Contains(known, code) {
			t.Errorf("pages name the metric jobs.%s, want one of %v", code, known)
		}
	}
	for _, reason := range namesIn(pages, "`attempts\\.(?:not-started|lost)\\.([a-z-]+)`") {
		if !slices.Contains(reasons, reason) {
			t.Errorf("pages name the reason %s, want one of %v", reason, reasons)
		}
	}
	if len(codes) < 3 {
		t.Errorf("codes in the pages: got %v, want several", codes)
	}
}
