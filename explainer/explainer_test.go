package explainer_test

import (
	"strings"
	"testing"

	"medlargw.example/medlargw"
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
		shed         = `{"level":"info","ts":100.9,"logger":"receiver","msg":"job request body could not be read","job":"00000000000000b5","error":"connection shed: too much memory or too many connections for requests that have not arrived whole"}`
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
		{"connection shed", []string{otherJob, shed}, "job request body could not be read: " + medlargw.ErrConnectionShed.Error(), 1, 0},
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

// TestTaskThatRanTwice guards against an explanation that does not name both
// holders of a task that ran twice, and the reason.
func TestTaskThatRanTwice(t *testing.T) {
	const complete = `{"ts":100.9,"logger":"coordinator","msg":"job complete","job":"b5","age":0.8,"left":0.2}`
	type log struct{ process, lines string }
	tests := []struct {
		name   string
		logs   []log
		cause  string
		around int
	}{
		{"recalled from a former holder", []log{
			{"h1", `{"ts":100.4,"logger":"coordinator","msg":"task returned after an unanswered offer","task":"b5.0","attempt":1,"holder":"h2","answer":"refused","to":"h4"}
				{"ts":100.5,"logger":"coordinator","msg":"report on a former offer","task":"b5.0","attempt":1,"holder":"h3","event":"started","target":"t1","reason":"handed over","to":"h4"}
				` + complete},
			{"h2", `{"ts":100.35,"logger":"holder","msg":"target transfer sent","target":"t1","fence":3,"seen":8,"runs":1,"to":"h3","kept":0}
				{"ts":100.38,"logger":"holder","msg":"ended task offered or recalled","task":"b5.0","attempt":1,"home":"h1","answer":"refused","event":"transferred","target":"","to":"h3","age":0.01}`},
		}, "complete after 800ms, in time; runs in doubt: " +
			"h2: ended task offered or recalled (task b5.0, attempt 1, to h3, home h1, answer refused, event transferred), " +
			"h1: task returned after an unanswered offer (task b5.0, attempt 1, holder h2, to h4, answer refused), " +
			"h1: report on a former offer (task b5.0, attempt 1, holder h3, to h4, target t1, event started, reason handed over)", 1},
		{"end acknowledged during a transfer", []log{
			{"h1", `{"ts":100.5,"logger":"coordinator","msg":"attempt ended","task":"b5.0","attempt":1,"event":"stopped","target":"t1","reason":"no longer listed as running","holder":"h3"}
				{"ts":100.6,"logger":"coordinator","msg":"report on a former offer","task":"b5.0","attempt":2,"holder":"h2","event":"done","target":"t1","reason":"","to":"h4"}
				` + complete},
			{"h2", `{"ts":100.4,"logger":"holder","msg":"run ended during the transfer of its target","task":"b5.0","attempt":1,"target":"t1","fence":3,"seen":8,"kind":"done","sequence":9,"to":"h3"}
				{"ts":100.41,"logger":"conductor","msg":"report not acknowledged","home":"h1","ends":1,"kept":1}`},
			{"h3", `{"ts":100.45,"logger":"holder","msg":"absent run counted as ended","task":"b5.0","attempt":1,"target":"t1","fence":4,"seen":9,"reason":"not listed"}
				{"ts":100.42,"logger":"holder","msg":"target transfer received","target":"t1","fence":3,"seen":8,"runs":1,"from":"h2"}`},
		}, "complete after 800ms, in time; 1 attempts did not succeed: stopped on t1 (no longer listed as running); runs in doubt: " +
			"h2: run ended during the transfer of its target (task b5.0, attempt 1, to h3, target t1, kind done), " +
			"h3: absent run counted as ended (task b5.0, attempt 1, target t1, reason not listed), " +
			"h1: report on a former offer (task b5.0, attempt 2, holder h2, to h4, target t1, event done)", 2},
		{"lost holder goes on", []log{
			{"h1", `{"ts":100.1,"logger":"coordinator","msg":"holder lost","holder":"h2","silent":0.6,"sent":0.12,"tasks":1}
				{"ts":100.5,"logger":"coordinator","msg":"attempt counted as ended","task":"b5.0","attempt":1,"holder":"h2","reason":"holder lost","silent":2,"sent":1.5,"to":"h3"}
				{"ts":100.6,"logger":"coordinator","msg":"report on a former offer","task":"b5.0","attempt":2,"holder":"h2","event":"done","target":"t1","reason":"","to":"h3"}
				{"ts":100.9,"logger":"coordinator","msg":"job complete","job":"b5","age":0.8,"left":-0.2}`},
		}, "complete after 800ms, 200ms later than its objective; meanwhile h1: holder lost (h2); runs in doubt: " +
			"h1: attempt counted as ended (task b5.0, attempt 1, holder h2, to h3, reason holder lost), " +
			"h1: report on a former offer (task b5.0, attempt 2, holder h2, to h3, target t1, event done)", 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e := explainer.New("b5")
			for _, l := range test.logs {
				if err := e.Read(l.process, strings.NewReader(l.lines)); err != nil {
					t.Fatal(err)
				}
			}
			x := e.Explain()
			if x.Cause != test.cause {
				t.Errorf("cause:\n got %s\nwant %s", x.Cause, test.cause)
			}
			if got := len(x.Context); got != test.around {
				t.Errorf("lines around: got %d, want %d", got, test.around)
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
