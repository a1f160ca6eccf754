// Package logs builds the loggers of jacinthfront's processes.
package logs

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
)

// Config configures a logger.
type Config struct {
	// Level is debug, info, warn or error; empty means info.
	Level string
	// Text means that lines are written as text, not as JSON objects.
	Text bool
	// Instance is written as a field of each line.
	Instance string
}

// NewLogger returns a logger that writes to standard error. Its error is a fault
// of kind Invalid if the level is unknown.
func NewLogger(config Config) (*zap.Logger, error) {
	level := zapcore.InfoLevel
	if config.Level != "" {
		if err := level.UnmarshalText([]byte(config.Level)); err != nil {
			return nil, fault.New(fault.Invalid, fault.NotRun, "log.level is %q; write debug, info, warn or error", config.Level)
		}
	}
	built := zap.NewProductionConfig()
	built.Level = zap.NewAtomicLevelAt(level)
	built.Sampling = nil
	built.DisableStacktrace = true
	built.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	if config.Text {
		built.Encoding = "console"
	}
	logger, err := built.Build()
	if err != nil {
		return nil, fault.Class.Wrap(err)
	}
	return logger.With(zap.String("instance", config.Instance)), nil
}
