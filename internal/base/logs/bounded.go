package logs

import (
	"cmp"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/time/rate"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
)

// Defaults of BoundedConfig.
const (
	// DefaultLines is the number of lines a second for all messages.
	DefaultLines = 400
	// DefaultRoutine is the number of lines a second for routine messages.
	DefaultRoutine = 100
	// DefaultPending is the number of lines that wait for a slow reader.
	DefaultPending = 2000
	// summaryPeriod is how often left-out lines are counted in a line.
	summaryPeriod = time.Second
)

// AsyncLoggerConfig configures a Bounded logger. Zero values mean the defaults.
type AsyncLoggerConfig struct {
	Config
	// Output is where lines are written.
	Output io.Writer
	// Lines and Routine are numbers of lines a second.
	Lines   float64
	Routine float64
	// Pending is the number of lines that wait for a slow reader.
	Pending int
	// IsRoutine reports whether a message is written first when lines must be
	// left out. Others, such as refusals and failures, are kept longer.
	IsRoutine func(message string) bool
}

// ErrorField returns the field of an error, without the stack that error classes
// keep. It is left out if there is no error.
func ErrorField(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}

// AsyncLogger writes log lines without ever blocking its callers. It leaves lines
// out when there are too many, or when their reader is slow, and says how many.
type AsyncLogger struct {
	logger  *zap.Logger
	lines   chan []byte
	left    atomic.Int64
	done    chan struct{}
	ended   chan struct{}
	closing sync.Once
}

// NewAsyncLogger returns a Bounded that writes until it is closed.
func NewAsyncLogger(config AsyncLoggerConfig) (*AsyncLogger, error) {
	level := zapcore.InfoLevel
	if config.Level != "" {
		if err := level.UnmarshalText([]byte(config.Level)); err != nil {
			return nil, fault.New(fault.Invalid, fault.NotRun, "log.level is %q; write debug, info, warn or error", config.Level)
		}
	}
	config.Lines = cmp.Or(config.Lines, DefaultLines)
	config.Routine = cmp.Or(config.Routine, DefaultRoutine)
	config.Pending = cmp.Or(config.Pending, DefaultPending)
	if config.IsRoutine == nil {
		config.IsRoutine = func(string) bool { return false }
	}
	bounded := &AsyncLogger{lines: make(chan []byte, config.Pending), done: make(chan struct{}), ended: make(chan struct{})}
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	encoder := zapcore.NewJSONEncoder(encoding)
	if config.Text {
		encoder = zapcore.NewConsoleEncoder(encoding)
	}
	core := &boundedCore{
		Core:    zapcore.NewCore(encoder, bounded, level),
		bounded: bounded, isRoutine: config.IsRoutine,
		all:     rate.NewLimiter(rate.Limit(config.Lines), int(config.Lines)),
		routine: rate.NewLimiter(rate.Limit(config.Routine), int(config.Routine)),
	}
	bounded.logger = zap.New(core).With(zap.String("instance", config.Instance))
	go bounded.write(config.Output)
	go bounded.summarize()
	return bounded, nil
}

// Logger returns the logger.
func (bounded *AsyncLogger) Logger() *zap.Logger { return bounded.logger }

// Write implements zapcore.WriteSyncer. It keeps a copy of the line, or leaves
// it out when too many wait.
func (bounded *AsyncLogger) Write(line []byte) (int, error) {
	copied := append([]byte(nil), line...)
	select {
	case bounded.lines <- copied:
	default:
		bounded.left.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer.
func (*AsyncLogger) Sync() error { return nil }

// Close writes what waits, for at most the given time.
func (bounded *AsyncLogger) Close(within time.Duration) {
	bounded.closing.Do(func() { close(bounded.done) })
	timer := time.NewTimer(within)
	defer timer.Stop()
	select {
	case <-bounded.ended:
	case <-timer.C:
	}
}

func (bounded *AsyncLogger) write(output io.Writer) {
	defer close(bounded.ended)
	for {
		select {
		case line := <-bounded.lines:
			_, _ = output.Write(line)
		case <-bounded.done:
			for {
				select {
				case line := <-bounded.lines:
					_, _ = output.Write(line)
				default:
					return
				}
			}
		}
	}
}

// summarize says from time to time how many lines were left out.
func (bounded *AsyncLogger) summarize() {
	ticker := time.NewTicker(summaryPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-bounded.done:
			return
		case <-ticker.C:
			if left := bounded.left.Swap(0); left > 0 {
				bounded.logger.Warn("log: lines left out", zap.Int64("lines", left))
			}
		}
	}
}

// boundedCore leaves lines out when there are too many in a second.
type boundedCore struct {
	zapcore.Core
	bounded   *AsyncLogger
	isRoutine func(string) bool
	all       *rate.Limiter
	routine   *rate.Limiter
}

// With implements zapcore.Core.
func (core *boundedCore) With(fields []zapcore.Field) zapcore.Core {
	copied := *core
	copied.Core = core.Core.With(fields)
	return &copied
}

// Check implements zapcore.Core.
func (core *boundedCore) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !core.Enabled(entry.Level) {
		return checked
	}
	if core.isRoutine(entry.Message) && !core.routine.Allow() || !core.all.Allow() {
		core.bounded.left.Add(1)
		return checked
	}
	return checked.AddCore(entry, core)
}
