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

// row is one line of the table in docs/operators/settings.md.
type row struct {
	name      string
	byDefault string
	bounds    string
}

var rowPattern = regexp.MustCompile("(?m)^\\| `([a-z.]+)` \\| [^|]* \\| ([^|]*) \\| ([^|]*) \\|")

func documented(t *testing.T) []row {
	t.Helper()
	text, err := os.ReadFile("../docs/operators/settings.md")
	if err != nil {
		t.Fatalf("read settings page: %v", err)
	}
	var rows []row
	for _, m := range rowPattern.FindAllStringSubmatch(string(text), -1) {
		rows = append(rows, row{name: m[1], byDefault: strings.Trim(m[2], " `"), bounds: strings.TrimSpace(m[3])})
	}
	return rows
}

// leaf is one setting in the code.
type leaf struct {
	name  string
	value reflect.Value
}

// leaves returns the settings below a value; a field's name in lower case is
// its name in the file.
func leaves(prefix string, v reflect.Value) []leaf {
	var all []leaf
	for i := range v.NumField() {
		name := prefix + strings.ToLower(v.Type().Field(i).Name)
		field := v.Field(i)
		if field.Kind() == reflect.Struct && strings.HasSuffix(field.Type().Name(), "Settings") {
			all = append(all, leaves(name+".", field)...)
			continue
		}
		all = append(all, leaf{name: name, value: field})
	}
	return all
}

// minimal holds what has no default.
const minimal = `"host": "h", "zone": "z", "key": "0123456789abcdef", "admin": "0123456789abcdef"`

// boundsOf returns the bounds that the loader names when it gets a value that
// is too large.
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
	_, err := l.Parse("s", []byte("{"+minimal+", "+text+"}"))
	_, bounds, _ := strings.Cut(fmt.Sprint(err), ", want ")
	return bounds
}

func TestSettingsPageAgreesWithTheCode(t *testing.T) {
	var l Loader
	s, err := l.Parse("s", []byte("{"+minimal+"}"))
	if err != nil {
		t.Fatalf("parse: %v", err)
	}
	rows := documented(t)
	known := leaves("", reflect.ValueOf(s))
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
		if got := rows[i].byDefault; got != "needed" && got != defaultOf(k.value) {
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

func defaultOf(v reflect.Value) string {
	if text := fmt.Sprint(v.Interface()); text != "" && text != "[]" {
		return text
	}
	return "none"
}
