package explainer_test

import (
	"strings"
	"testing"

	"medlargw.example/medlargw/explainer"
)

func TestExplain(t *testing.T) {
	const (
		refused      = `{"level":"info","ts":100.5,"logger":"coordinator","msg":"job refused","job":"00000000000000b5","reason":"no room in time","wait":0.437,"age":0.0001,"slack":0.3}`
		ended        = `{"level":"info","ts":100.2,"logger":"coordinator","msg":"attempt ended","task":"00000000000000b5.0.0.1","attempt":1,"event":"failed","target":"t1","reason":"failed"}`
		otherJob     = `{"level":"info","ts":100.3,"logger":"coordinator","msg":"attempt ended","task":"00000000000000b6.0.0.1","attempt":1,"event":"failed","target":"t9"}`
		complete     = `{"level":"info","ts":100.9,"logger":"coordinator","msg":"job complete","job":"00000000000000b5","age":0.8,"left":-0.2}`
		inTime       = `{"level":"info","ts":100.9,"logger":"coordinator","msg":"job complete","job":"00000000000000b5","age":0.4,"left":0.2}`
		givenUp      = `{"level":"info","ts":100.9,"logger":"coordinator","msg":"job given up","job":"00000000000000b5","age":0.4,"code":"attempt-lost","reason":"the holder of its targets is lost"}`
		lost         = `{"level":"info","ts":100.8,"logger":"coordinator","msg":"holder lost","holder":"h2","silent":0.6}`
		unanswered   = `{"level":"info","ts":100.1,"logger":"holder","msg":"target does not answer","target":"t1"}`
		otherTarget  = `{"level":"info","ts":100.1,"logger":"holder","msg":"target does not answer","target":"t7"}`
		stalledEarly = `{"level":"warn","ts":50,"logger":"conductor","msg":"the process stood still","gap":2}`
		stalled      = `{"level":"warn","ts":99.9,"logger":"conductor","msg":"the process stood still","gap":2}`
	)
	tests := []struct {
		name   string
		lines  []string
		cause  string
		own    int
		around int
	}{
		{"nothing", []string{otherJob, "no JSON", "{"}, "no log line names the request: it never arrived, its entry was lost together with its log, or its lines were dropped under load", 0, 0},
		{"load", []string{otherJob, stalledEarly, refused}, "refused after 0s, nothing has run: no room in time; the work ahead of it takes about 437ms, and it had to start within 300ms; no target or entry was unavailable, so the cause was load", 1, 0},
		{"refused after a stall", []string{refused, stalled}, "refused after 0s, nothing has run: no room in time; the work ahead of it takes about 437ms, and it had to start within 300ms; meanwhile h1: the process stood still", 1, 1},
		{"late after a failure", []string{complete, ended, unanswered, otherTarget}, "complete after 800ms, 200ms later than its objective; 1 attempts did not succeed: failed on t1 (failed); meanwhile h1: target does not answer (t1)", 2, 1},
		{"in time", []string{inTime, unanswered}, "complete after 400ms, in time", 1, 0},
		{"end not logged", []string{ended}, "no log line states the outcome of the request: its entry was lost, or the line was dropped under load", 1, 0},
		{"holder lost", []string{givenUp, `{"ts":100.85,"msg":"x","task":"00000000000000b5.0.0.0","holder":"h2"}`, lost}, `given up after 400ms with "attempt-lost": the holder of its targets is lost; meanwhile h1: holder lost (h2)`, 2, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e := explainer.New("00000000000000B5")
			if err := e.Read("h1", strings.NewReader(strings.Join(test.lines, "\n"))); err != nil {
				t.Fatal(err)
			}
			x := e.Explain()
			if x.Cause != test.cause {
				t.Errorf("cause:\n got %s\nwant %s", x.Cause, test.cause)
			}
			if len(x.Records) != test.own || len(x.Context) != test.around {
				t.Errorf("lines: got %d and %d around, want %d and %d", len(x.Records), len(x.Context), test.own, test.around)
			}
		})
	}
}

// TestProcessNameBeforeJSON asserts that a process name before the JSON of a line
// takes precedence over the name of the log.
func TestProcessNameBeforeJSON(t *testing.T) {
	e := explainer.New("00000000000000b5")
	line := `  100.2 host-3 {"ts":100.5,"msg":"job refused","job":"00000000000000b5"}`
	if err := e.Read("all", strings.NewReader(line)); err != nil {
		t.Fatal(err)
	}
	if got, want := e.Explain().Records[0].Process, "host-3"; got != want {
		t.Errorf("process: got %q, want %q", got, want)
	}
}

// FuzzRead asserts that no input makes the explainer panic.
func FuzzRead(f *testing.F) {
	f.Add(`x {"ts":1e400,"msg":"job refused","job":"a","age":"b"}`)
	f.Add(`{"ts":null,"msg":{},"job":"a"}`)
	f.Fuzz(func(_ *testing.T, text string) {
		e := explainer.New("a")
		_ = e.Read("p", strings.NewReader(text)) // The only error is a line that is too long.
		e.Explain()
	})
}
