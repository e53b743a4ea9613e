// Package logger makes the process's log: JSON, or text on a terminal.
package logger

import (
	"fmt"
	"os"

	"go.uber.org/zap"
)

// Bounds of a storm: of the lines with one message and level in one second, the
// first are written, and after them one of many.
const (
	firstLines = 20
	oneOfLines = 1000
)

// Logger is the root of the logs. Each part logs under its own name. The level
// can be changed while the process runs.
type Logger struct {
	*zap.Logger

	Level zap.AtomicLevel
}

// New returns the log to standard error, from level info.
func New() (*Logger, error) {
	cfg := zap.NewProductionConfig()
	if isTerminal(os.Stderr) {
		cfg = zap.NewDevelopmentConfig()
		cfg.Level.SetLevel(zap.InfoLevel)
	}
	cfg.DisableStacktrace = true
	cfg.Sampling = &zap.SamplingConfig{Initial: firstLines, Thereafter: oneOfLines}
	return build(cfg)
}

func build(cfg zap.Config) (*Logger, error) {
	log, err := cfg.Build()
	if err != nil {
		return nil, fmt.Errorf("build log: %w", err)
	}
	return &Logger{Logger: log, Level: cfg.Level}, nil
}

func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
