package checker

import (
	"strings"
	"testing"

	"medlargw.example/medlargw"
)

const emptyHash = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"

// operatorsFile declares two classes, and one team with bounds.
const operatorsFile = `{"team": "deployment", "keys": [],
 "classes": [{"name": "urgent", "rank": 0}, {"name": "steady", "rank": 1}],
 "teams": [{"name": "desk", "owners": ["` + emptyHash + `"], "weight": 2, "limit": {"running": 10}, "classes": ["urgent"]}]}`

// file is one file that a test checks.
type file struct {
	name string
	text string
}

func check(files []file, current []medlargw.TeamConfig) string {
	c := New()
	for _, f := range files {
		c.Add(f.name, []byte(f.text))
	}
	if err := c.Check(current); err != nil {
		return err.Error()
	}
	return ""
}

func TestCheck(t *testing.T) {
	tests := []struct {
		name  string
		files []file
		want  []string
	}{
		{
			name: "no fault",
			files: []file{
				{name: "o", text: operatorsFile},
				{name: "d", text: `{"team": "desk", "weight": 2, "limit": {"running": 10}, "services": [
 {"name": "slip", "class": "urgent", "limit": {"running": 5}}]}`},
			},
		},
		{
			name: "misspelt names, wrong types and values out of range",
			files: []file{{name: "d", text: `{"team": "desk", "wieght": 2,
 "limit": {"running": "ten"},
 "keys": ["secret"],
 "classes": [{"name": "a b", "rank": 99, "floor": 2, "answered": 0.9, "response": "soon"}]}`}},
			want: []string{
				"d:1:18: wieght: unknown name, did you mean weight?",
				"d:2:23: running: got a string, want a number",
				"d:3:10: keys: got 6 characters, want the SHA-256 of a token as 64 hexadecimal digits",
				`d:4:23: name: got "a b", want up to 64 letters, digits, dots, dashes or underscores`,
				"d:4:38: rank: got 99, want 0 to 31",
				"d:4:51: floor: got 2, want 0 to 1",
				`d:4:83: response: got "soon", want a time such as "250ms"`,
			},
		},
		{
			name: "a service with no class, and one with a misspelt class",
			files: []file{
				{name: "o", text: `{"team": "ops", "classes": [{"name": "urgent", "rank": 0}]}`},
				{name: "d", text: `{"team": "desk", "services": [
 {"name": "slip"},
 {"name": "cure", "class": "urgnet"}]}`},
			},
			want: []string{
				"d:2:2: class: missing",
				"d:3:28: class: no class urgnet is declared, did you mean urgent?",
			},
		},
		{
			name: "two files declare the same",
			files: []file{
				{name: "a", text: `{"team": "desk", "weight": 2,
 "classes": [{"name": "urgent", "rank": 0}, {"name": "other", "rank": 0}],
 "services": [{"name": "slip", "class": "urgent"}]}`},
				{name: "b", text: `{"team": "desk", "weight": 3, "keys": [],
 "classes": [{"name": "urgent", "rank": 1}],
 "services": [{"name": "slip", "class": "urgent"}]}`},
			},
			want: []string{
				"a:2:71: rank: class urgent has rank 0 already at a:2:41",
				"b:1:28: weight: given already for team desk at a:1:28",
				"b:2:23: name: class urgent is declared already at a:2:23",
				"b:3:24: name: service slip is declared already at a:3:24",
			},
		},
		{
			name: "above what the deployment allows",
			files: []file{
				{name: "o", text: operatorsFile},
				{name: "d", text: `{"team": "desk", "weight": 3,
 "limit": {"running": 11},
 "classes": [{"name": "mine", "rank": 2}],
 "services": [{"name": "slip", "class": "steady", "limit": {"running": 12}}]}`},
				{name: "e", text: `{"team": "else", "teams": []}`},
			},
			want: []string{
				"d:1:28: weight: got 3, want at most 2, the deployment's bound",
				"d:2:11: limit: running: got 11, want at most 10, the deployment's bound",
				"d:3:23: classes: only team deployment declares classes",
				"d:4:41: class: team desk may not use class steady",
				"d:4:60: limit: running: got 12, want at most 11, the team's limit",
				"e:1:10: team: team deployment doesn't declare team else",
				"e:1:27: teams: only team deployment declares teams",
			},
		},
		{
			name: "floors of more than all starts",
			files: []file{{name: "d", text: `{"team": "desk", "classes": [
 {"name": "a", "rank": 0, "floor": 0.75},
 {"name": "b", "rank": 1, "floor": 0.5}]}`}},
			want: []string{"d:3:11: floor: got floors of 1.25 in all up to class b, want at most 1"},
		},
		{
			name:  "no JSON",
			files: []file{{name: "d", text: "{\n\"team\": }"}},
			want: []string{
				"d:2:9: invalid character '}' at start of value",
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := check(tt.files, nil)
			if want := strings.Join(tt.want, "\n"); got != want {
				t.Errorf("findings:\ngot  %s\nwant %s", got, want)
			}
		})
	}
}

func TestCheckAgainstCurrentConfig(t *testing.T) {
	service := medlargw.Service{Name: "slip", Team: "desk", Class: "urgent"}
	desk := medlargw.TeamConfig{
		Team:     medlargw.Team{Name: "desk", Weight: 2, Limit: medlargw.Limit{Running: 10}},
		Services: []medlargw.Service{service},
	}
	tests := []struct {
		name string
		file file
		want []string
	}{
		{name: "unchanged", file: file{name: "o", text: operatorsFile}},
		{
			name: "the files remove a class in use and lower a limit",
			file: file{name: "o", text: `{"team": "deployment", "classes": [{"name": "steady", "rank": 1}],
 "teams": [{"name": "desk", "owners": ["` + emptyHash + `"], "weight": 1, "limit": {"running": 9}}]}`},
			want: []string{
				"o:1:10: classes: service slip of team desk uses class urgent",
				"o:1:10: teams: team desk has weight 2 in force, above its new 1",
				"o:1:10: limit: running: got 10, want at most 9, the new bound of team desk",
			},
		},
		{
			name: "a team that is no longer declared is removed with its services",
			file: file{name: "o", text: `{"team": "deployment", "classes": [{"name": "steady", "rank": 1}]}`},
		},
		{
			name: "another team has the service",
			file: file{name: "e", text: `{"team": "else", "classes": [{"name": "urgent", "rank": 0}],
 "services": [{"name": "slip", "class": "urgent"}]}`},
			want: []string{"e:2:24: name: service slip is declared already by team desk"},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := check([]file{tt.file}, []medlargw.TeamConfig{desk})
			if want := strings.Join(tt.want, "\n"); got != want {
				t.Errorf("findings:\ngot  %s\nwant %s", got, want)
			}
		})
	}
}
