package loader

import (
	"testing"
	"time"
)

const validSettings = `{
	// One entry.
	"host": "detroit-1",
	"zone": "detroit",
	"key": "0123456789abcdef",
	"admin": "0123456789abcdef",
	"group": {"beat": "500ms"},
}`

func TestParseReadsSettings(t *testing.T) {
	var l Loader
	s, err := l.Parse("s", []byte(validSettings))
	if err != nil {
		t.Fatalf("parse: %v", err)
	}
	if got, want := s.Group.Beat, 500*time.Millisecond; got != want {
		t.Errorf("beat: got %s, want %s", got, want)
	}
	if got, want := s.Intake.Tasks, defaultTasksPerJob; got != want {
		t.Errorf("tasks: got %d, want %d", got, want)
	}
}

func TestParseReportsAllErrorsTogether(t *testing.T) {
	tests := []struct {
		name string
		text string
		want string
	}{
		{
			name: "missing names",
			text: `{"key": "0123456789abcdef", "admin": "0123456789abcdef"}`,
			want: "s:1:1: host: missing\ns:1:1: zone: missing",
		},
		{
			name: "misspelt, out of range, wrong type",
			text: "{\n \"host\": \"a\", \"zone\": 7,\n \"key\": \"short\", \"admin\": \"0123456789abcdef\",\n" +
				" \"favor\": \"latency\", \"intake\": {\"tasks\": 5000}}",
			want: "s:2:23: zone: got a number, want a string\n" +
				"s:3:9: key: got 5 bytes, want at least 16\n" +
				"s:4:2: favor: unknown name, did you mean favour?\n" +
				"s:4:42: tasks: got 5000, want 1 to 1000",
		},
		{
			name: "peer suspected before the loans have expired",
			text: "{\"host\": \"a\", \"zone\": \"z\", \"key\": \"0123456789abcdef\", \"admin\": \"0123456789abcdef\",\n" +
				" \"group\": {\"suspect\": \"2s\"}}",
			want: "s:2:23: suspect: got 2s, want at least the term and two margins, 2.4s",
		},
		{
			name: "callers who return before a lease can end",
			text: "{\"host\": \"a\", \"zone\": \"z\", \"key\": \"0123456789abcdef\", \"admin\": \"0123456789abcdef\",\n" +
				" \"lease\": {\"resubmit\": \"1s\"}}",
			want: "s:2:24: resubmit: got 1s, which leaves 760.5ms for a lease, want at least 800ms",
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var l Loader
			_, err := l.Parse("s", []byte(tt.text))
			if err == nil {
				t.Fatal("parse: got no error, want findings")
			}
			if got := err.Error(); got != tt.want {
				t.Errorf("findings:\ngot  %s\nwant %s", got, tt.want)
			}
		})
	}
}
