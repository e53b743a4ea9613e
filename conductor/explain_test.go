package conductor_test

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/explainer"
)

// logs are the logs of the entries, by host.
type logs map[string]*bytes.Buffer

// of returns the log of an entry, as the program writes it.
func (l logs) of(host string) *zap.Logger {
	if l == nil {
		return zap.NewNop()
	}
	if l[host] == nil {
		l[host] = &bytes.Buffer{}
	}
	encoder := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	return zap.New(zapcore.NewCore(encoder, zapcore.Lock(zapcore.AddSync(l[host])), zap.InfoLevel))
}

// write writes the logs into the directory that MEDLARGW_WALKS names, if any.
// The walks of docs/OPERATIONS.md are made so.
func (l logs) write(t *testing.T, walk string) {
	root := os.Getenv("MEDLARGW_WALKS")
	if root == "" {
		return
	}
	dir := filepath.Join(root, strings.ReplaceAll(walk, " ", "-"))
	if err := os.MkdirAll(dir, 0o750); err != nil {
		t.Fatal(err)
	}
	for host, log := range l {
		if err := os.WriteFile(filepath.Join(dir, host+".log"), log.Bytes(), 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

// TestExplain walks from the id of a failed request to its cause, in the logs of
// all entries.
func TestExplain(t *testing.T) {
	const work = 300 * time.Millisecond
	tests := []struct {
		name  string
		event func(f *fleet) // Ends with the request "walk" handed in.
		cause []string       // What the sentence must say.
	}{
		{"refused under load", func(f *fleet) {
			for i := range 40 {
				f.submit(f.entries[i%3], fmt.Sprintf("load%d", i), 8, work, 15000)
			}
			time.Sleep(20 * time.Millisecond)
			f.submit(f.entries[0], "walk", 2, work, 15000)
		}, []string{"refused after", "nothing has run", "so it was load"}},
		{"failed after its attempts on bad targets", func(f *fleet) {
			for _, target := range f.w.targets.Targets() {
				f.w.targets.Set(target.Name, medlargw.TargetFaults{Fail: true})
			}
			f.submit(f.entries[0], "walk", 1, work, 15000)
		}, []string{`"task-failed"`, "failed 2 times", "2 attempts ended early: failed on"}},
		{"cut off since a holder was lost", func(f *fleet) {
			f.submit(f.entries[0], "walk", 24, 1500*time.Millisecond, 15000)
			time.Sleep(50 * time.Millisecond)
			f.stop(f.entries[1])
			time.Sleep(400 * time.Millisecond)
			f.assign()
		}, []string{`"attempt-lost"`, "the holder of its targets is lost", "holder lost (a2)"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			all := logs{}
			inLoggedFleet(t, 1, []string{"a1", "a2", "b1"}, all, func(f *fleet) {
				test.event(f)
				time.Sleep(10 * time.Second)
			})
			all.write(t, test.name)
			e := explainer.New("walk")
			for host, log := range all {
				if err := e.Read(host, log); err != nil {
					t.Fatal(err)
				}
			}
			x := e.Explain()
			for _, want := range test.cause {
				if !strings.Contains(x.Cause, want) {
					t.Errorf("cause: got %q, want it to say %q", x.Cause, want)
				}
			}
		})
	}
}
