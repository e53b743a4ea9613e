package logger

import (
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
	cfg.OutputPaths = []string{path}
	log, err := build(cfg)
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
