package logger

import (
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"go.uber.org/zap"
)

func TestStormIsSampledAndLevelChanges(t *testing.T) {
	cfg := zap.NewProductionConfig()
	cfg.Sampling = &zap.SamplingConfig{Initial: firstLines, Thereafter: oneOfLines}
	path := filepath.Join(t.TempDir(), "log")
	out, err := os.Create(path)
	if err != nil {
		t.Fatalf("create log: %v", err)
	}
	defer func() { _ = out.Close() }()
	log, err := build(cfg, out)
	if err != nil {
		t.Fatalf("build: %v", err)
	}
	log.Debug("hidden")
	log.Level.SetLevel(zap.DebugLevel)
	log.Debug("shown")
	const storm = 5000
	for range storm {
		log.Named("dispatcher").Info("job ended: overloaded")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatalf("read log: %v", err)
	}
	if got := string(text); strings.Contains(got, "hidden") || !strings.Contains(got, "shown") {
		t.Errorf("levels: got %s, want one debug line", got)
	}
	// The second may change once during the storm.
	most := 2*firstLines + storm/oneOfLines + 2
	if got := strings.Count(string(text), "overloaded"); got < firstLines || got > most {
		t.Errorf("lines of the storm: got %d, want %d to %d", got, firstLines, most)
	}
}

// TestFullPipe asserts that a reader which stands still holds up no writer, and
// that what is left out is counted.
func TestFullPipe(t *testing.T) {
	r, w := io.Pipe()
	q := newQueue(w)
	const lines = 2 * queueLines
	for range lines {
		if _, err := q.Write([]byte("a line\n")); err != nil {
			t.Fatalf("write: %v", err)
		}
	}
	if err := q.Sync(); err == nil {
		t.Error("sync of a full pipe: got no error, want one")
	}
	var text strings.Builder
	for buf := make([]byte, 64<<10); !strings.Contains(text.String(), "left out"); {
		n, err := r.Read(buf)
		if err != nil {
			t.Fatalf("read: %v", err)
		}
		text.Write(buf[:n])
	}
	if got, most := strings.Count(text.String(), "a line"), queueLines+1; got > most {
		t.Errorf("lines kept: got %d, want at most %d", got, most)
	}
}
