// Package logger makes the process's log: JSON, or text on a terminal.
package logger

import (
	"fmt"
	"os"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
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

// New returns the log to standard output, from level info.
func New() (*Logger, error) {
	cfg := zap.NewProductionConfig()
	if isTerminal(os.Stdout) {
		cfg = zap.NewDevelopmentConfig()
		cfg.Level.SetLevel(zap.InfoLevel)
	}
	cfg.DisableStacktrace = true
	cfg.DisableCaller = true
	cfg.Sampling = &zap.SamplingConfig{Initial: firstLines, Thereafter: oneOfLines}
	return build(cfg, newQueue(os.Stdout))
}

// build makes a log of the configuration that writes to out.
func build(cfg zap.Config, out zapcore.WriteSyncer) (*Logger, error) {
	encoder := zapcore.NewJSONEncoder(cfg.EncoderConfig)
	if cfg.Encoding == "console" {
		encoder = zapcore.NewConsoleEncoder(cfg.EncoderConfig)
	}
	log, err := cfg.Build(zap.WrapCore(func(zapcore.Core) zapcore.Core {
		core := zapcore.NewCore(encoder, out, cfg.Level)
		return zapcore.NewSamplerWithOptions(core, time.Second, cfg.Sampling.Initial, cfg.Sampling.Thereafter)
	}))
	if err != nil {
		return nil, fmt.Errorf("build log: %w", err)
	}
	return &Logger{Logger: log, Level: cfg.Level}, nil
}

func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
