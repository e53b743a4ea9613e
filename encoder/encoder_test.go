package encoder

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"medlargw.example/medlargw"
)

// TestNumbersOfTasks guards against tasks that take many times the memory of the body, and
// against lists that are cut short without an error.
func TestNumbersOfTasks(t *testing.T) {
	const task = `{"id":"%d","payload":1}`
	list := func(n int, task string) string {
		all := make([]string, n)
		for i := range all {
			all[i] = strings.ReplaceAll(task, "%d", fmt.Sprint(i))
		}
		return "[" + strings.Join(all, ",") + "]"
	}
	tests := []struct {
		name  string
		tasks string
		want  string // Of the error; empty is none.
	}{
		{"one", list(1, task), ""},
		{"most", list(290, task), ""},
		{"one too many", list(291, task), "tasks: got 291, want at most 290"},
		{"as many as settings allow", list(1000, task), "tasks: got 1000, want at most 290"},
		{"more than any settings allow", list(1001, task), "tasks: got 1001 or more, want at most 290"},
		{"empty tasks", list(350_000, "{}"), "tasks: got 1001 or more, want at most 290"},
		{"none", "[]", "tasks: got none, want at least one"},
		{"null", "null", "tasks: got none, want at least one"},
		{"no list", "{}", `the body is no submission: tasks: got "{}", want a list`},
		{"unknown field", `[{"id":"a","payloads":1}]`, `the body is no submission: json: unknown field "payloads"`},
		{"syntax", `[{"id":"a"},,]`, "the body is no submission: invalid character ',' looking for beginning of value"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			body := []byte(`{"service":"s","tasks":` + test.tasks + `}`)
			e := New(medlargw.IntakeSettings{Tasks: 290, Deadline: time.Minute})
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			s, refused := e.DecodeSubmission(body)
			runtime.ReadMemStats(&after)
			got := ""
			if refused != nil {
				got = refused.Message
			} else if len(s.Tasks) == 0 {
				t.Error("tasks: got none, want some")
			}
			if got != test.want {
				t.Errorf("error: got %q, want %q", got, test.want)
			}
			if got, most := after.TotalAlloc-before.TotalAlloc, uint64(8*len(body)+1<<20); got > most {
				t.Errorf("bytes to decode a body of %d: got %d, want at most %d", len(body), got, most)
			}
		})
	}
}
