// Package logger builds the logger of the process. It writes JSON, or text if
// standard output is a terminal.
package logger

import (
	"fmt"
	"os"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Sampling of repeated records: of those with the same message and level within
// one second, the first samplingInitial are written, then one in every
// samplingThereafter.
const (
	samplingInitial    = 20
	samplingThereafter = 1000
)

// Logger is the root logger. Each component logs under its own name. Level can be
// changed at run time.
type Logger struct {
	*zap.Logger

	Level zap.AtomicLevel
}

// New returns a logger that writes records of level info and above to standard
// output.
func New() (*Logger, error) {
	cfg := zap.NewProductionConfig()
	if isTerminal(os.Stdout) {
		cfg = zap.NewDevelopmentConfig()
		cfg.Level.SetLevel(zap.InfoLevel)
	}
	cfg.DisableStacktrace = true
	cfg.DisableCaller = true
	cfg.Sampling = &zap.SamplingConfig{Initial: samplingInitial, Thereafter: samplingThereafter}
	return build(cfg, newQueue(os.Stdout))
}

// build returns a logger with the configuration that writes to out.
func build(cfg zap.Config, out zapcore.WriteSyncer) (*Logger, error) {
	encoder := zapcore.NewJSONEncoder(cfg.EncoderConfig)
	if cfg.Encoding == "console" {
		encoder = zapcore.NewConsoleEncoder(cfg.EncoderConfig)
	}
	logger, err := cfg.Build(zap.WrapCore(func(zapcore.Core) zapcore.Core {
		core := zapcore.NewCore(encoder, out, cfg.Level)
		return zapcore.NewSamplerWithOptions(core, time.Second, cfg.Sampling.Initial, cfg.Sampling.Thereafter)
	}))
	if err != nil {
		return nil, fmt.Errorf("build log: %w", err)
	}
	return &Logger{Logger: logger, Level: cfg.Level}, nil
}

func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
