package loader

import (
	"fmt"
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"
	"time"
)

// documentedSetting is one row of the table in docs/operators/settings.md.
type documentedSetting struct {
	name         string
	defaultValue string
	bounds       string
}

var settingRowPattern = regexp.MustCompile("(?m)^\\| `([a-z.]+)` \\| [^|]* \\| ([^|]*) \\| ([^|]*) \\|")

// readSettingsPage returns the rows of the table, in order.
func readSettingsPage(t *testing.T) []documentedSetting {
	t.Helper()
	text, err := os.ReadFile("../docs/operators/settings.md")
	if err != nil {
		t.Fatalf("read settings page: %v", err)
	}
	var rows []documentedSetting
	for _, m := range settingRowPattern.FindAllStringSubmatch(string(text), -1) {
		rows = append(rows, documentedSetting{name: m[1], defaultValue: strings.Trim(m[2], " `"), bounds: strings.TrimSpace(m[3])})
	}
	return rows
}

// codeSetting is one setting in the code.
type codeSetting struct {
	name  string
	value reflect.Value
}

// flattenSettings returns the settings in a struct and its nested settings. The
// name of a setting in the file is the name of its field in lower case.
func flattenSettings(prefix string, v reflect.Value) []codeSetting {
	var settings []codeSetting
	for i := range v.NumField() {
		name := prefix + strings.ToLower(v.Type().Field(i).Name)
		field := v.Field(i)
		if field.Kind() == reflect.Struct && strings.HasSuffix(field.Type().Name(), "Settings") {
			settings = append(settings, flattenSettings(name+".", field)...)
			continue
		}
		settings = append(settings, codeSetting{name: name, value: field})
	}
	return settings
}

// requiredSettings holds the settings that have no default.
const requiredSettings = `"host": "h", "zone": "z", "key": "0123456789abcdef", "admin": "0123456789abcdef"`

// boundsOf returns the bounds from the finding that the loader reports for a
// value that is too large, or the empty string if the setting has no bounds.
func boundsOf(name string, value reflect.Value) string {
	var tooLarge string
	switch value.Interface().(type) {
	case int, int64:
		tooLarge = "99999999999999"
	case time.Duration:
		tooLarge = `"9999h"`
	default:
		return ""
	}
	text := fmt.Sprintf("%q: %s", name, tooLarge)
	if group, inner, ok := strings.Cut(name, "."); ok {
		text = fmt.Sprintf("%q: {%q: %s}", group, inner, tooLarge)
	}
	var l Loader
	_, err := l.Parse("s", []byte("{"+requiredSettings+", "+text+"}"))
	_, bounds, _ := strings.Cut(fmt.Sprint(err), ", want ")
	return bounds
}

func TestSettingsPageMatchesCode(t *testing.T) {
	var l Loader
	s, err := l.Parse("s", []byte("{"+requiredSettings+"}"))
	if err != nil {
		t.Fatalf("parse: %v", err)
	}
	rows := readSettingsPage(t)
	known := flattenSettings("", reflect.ValueOf(s))
	if got, want := len(rows), len(known); got != want {
		t.Errorf("documented settings: got %d, want %d", got, want)
	}
	for i, k := range known {
		if i >= len(rows) {
			break
		}
		if got, want := rows[i].name, k.name; got != want {
			t.Errorf("row %d: got %s, want %s", i, got, want)
			continue
		}
		if got, want := rows[i].bounds, boundsOf(k.name, k.value); want != "" && got != want {
			t.Errorf("bounds of %s: got %s, want %s", k.name, got, want)
		}
		if got := rows[i].defaultValue; got != "needed" && got != defaultOf(k.value) {
			t.Errorf("default of %s: got %s, want %s", k.name, got, defaultOf(k.value))
		}
	}
	for _, name := range []string{"host", "zone", "key", "admin"} {
		var l Loader
		if _, err := l.Parse("s", []byte("{}")); !strings.Contains(fmt.Sprint(err), name+": missing") {
			t.Errorf("settings without %s: got %v, want that it is missing", name, err)
		}
	}
}

// defaultOf formats a default as the settings page does.
func defaultOf(v reflect.Value) string {
	if text := fmt.Sprint(v.Interface()); text != "" && text != "[]" {
		return text
	}
	return "none"
}
