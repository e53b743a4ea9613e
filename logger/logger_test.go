package logger

import (
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"go.uber.org/zap"
)

func TestRepeatedRecordsAreSampledAndLevelChanges(t *testing.T) {
	cfg := zap.NewProductionConfig()
	cfg.Sampling = &zap.SamplingConfig{Initial: samplingInitial, Thereafter: samplingThereafter}
	path := filepath.Join(t.TempDir(), "log")
	out, err := os.Create(path)
	if err != nil {
		t.Fatalf("create log: %v", err)
	}
	defer func() { _ = out.Close() }()
	logger, err := build(cfg, out)
	if err != nil {
		t.Fatalf("build: %v", err)
	}
	logger.Debug("hidden")
	logger.Level.SetLevel(zap.DebugLevel)
	logger.Debug("shown")
	const repeated = 5000
	for range repeated {
		logger.Named("dispatcher").Info("job ended: overloaded")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatalf("read log: %v", err)
	}
	if got := string(text); strings.Contains(got, "hidden") || !strings.Contains(got, "shown") {
		t.Errorf("levels: got %s, want one debug line", got)
	}
	// A new second may begin once while the records are written.
	limit := 2*samplingInitial + repeated/samplingThereafter + 2
	if got := strings.Count(string(text), "overloaded"); got < samplingInitial || got > limit {
		t.Errorf("lines with the repeated message: got %d, want %d to %d", got, samplingInitial, limit)
	}
}

// TestFullPipe asserts that a blocked reader doesn't block a writer, and that the
// dropped lines are reported.
func TestFullPipe(t *testing.T) {
	r, w := io.Pipe()
	q := newQueue(w)
	const lines = 2 * queueCapacity
	for range lines {
		if _, err := q.Write([]byte("a line\n")); err != nil {
			t.Fatalf("write: %v", err)
		}
	}
	if err := q.Sync(); err == nil {
		t.Error("sync of a full pipe: got no error, want one")
	}
	var text strings.Builder
	for buf := make([]byte, 64<<10); !strings.Contains(text.String(), "log lines dropped"); {
		n, err := r.Read(buf)
		if err != nil {
			t.Fatalf("read: %v", err)
		}
		text.Write(buf[:n])
	}
	if got, limit := strings.Count(text.String(), "a line"), queueCapacity+1; got > limit {
		t.Errorf("lines kept: got %d, want at most %d", got, limit)
	}
}
