package logger

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// loggedMessage matches a call of level info or above on a variable or field
// named log, in upper or lower case, and captures its message. Calls on loggers
// of another name are not found.
var loggedMessage = regexp.MustCompile(`(?i)\blog\.(?:Info|Warn|Error)\(\s*"([^"]+)"`)

// TestEveryMessageIsDocumented asserts that docs/OPERATIONS.md contains each log
// message of level info or above.
func TestEveryMessageIsDocumented(t *testing.T) {
	raw, err := os.ReadFile("../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	page := string(raw)
	found := 0
	err = filepath.WalkDir("..", func(path string, entry os.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		source, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for _, match := range loggedMessage.FindAllStringSubmatch(string(source), -1) {
			found++
			if !strings.Contains(page, match[1]) {
				t.Errorf("%s: message %q is not in docs/OPERATIONS.md", path, match[1])
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if least := 40; found < least {
		t.Errorf("messages found in the sources: got %d, want at least %d", found, least)
	}
}
