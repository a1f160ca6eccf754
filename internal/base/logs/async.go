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

// Defaults of AsyncLoggerConfig.
const (
	// DefaultLineRate is the limit on all lines, per second.
	DefaultLineRate = 400
	// DefaultRoutineRate is the limit on lines with routine messages, per second.
	DefaultRoutineRate = 100
	// DefaultMaxBufferedLines is the largest number of lines that wait to be
	// written.
	DefaultMaxBufferedLines = 2000
	// reportInterval is how often the number of dropped lines is logged.
	reportInterval = time.Second
)

// AsyncLoggerConfig configures an AsyncLogger. Zero values mean the defaults.
type AsyncLoggerConfig struct {
	Config
	// Output receives the lines.
	Output io.Writer
	// LineRate limits all lines, in lines per second.
	LineRate float64
	// RoutineRate limits the lines with routine messages, in lines per second.
	RoutineRate float64
	// MaxBufferedLines is the largest number of lines that wait to be written.
	MaxBufferedLines int
	// IsRoutine reports whether a message is a routine one. Lines with
	// routine messages must stay within both RoutineRate and LineRate, so that
	// they are dropped before others, such as those about refusals and failures.
	IsRoutine func(message string) bool
}

// ErrorField returns a log field with the text of an error, without the stack
// trace that errs classes add. If err is nil the field is skipped.
func ErrorField(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}

// AsyncLogger writes log lines in the background and never blocks its callers.
// It drops lines that exceed the rate limits, or for which there is no room in
// the buffer because Output is slow, and logs how many it dropped.
type AsyncLogger struct {
	logger    *zap.Logger
	queue     chan []byte
	dropped   atomic.Int64
	closing   chan struct{}
	flushed   chan struct{}
	closeOnce sync.Once
}

// NewAsyncLogger returns an AsyncLogger that writes until it is closed. Its error
// is a fault of kind Invalid if the level is unknown.
func NewAsyncLogger(config AsyncLoggerConfig) (*AsyncLogger, error) {
	level := zapcore.InfoLevel
	if config.Level != "" {
		if err := level.UnmarshalText([]byte(config.Level)); err != nil {
			return nil, fault.New(fault.Invalid, fault.NotRun, "log.level is %q; write debug, info, warn or error", config.Level)
		}
	}
	config.LineRate = cmp.Or(config.LineRate, DefaultLineRate)
	config.RoutineRate = cmp.Or(config.RoutineRate, DefaultRoutineRate)
	config.MaxBufferedLines = cmp.Or(config.MaxBufferedLines, DefaultMaxBufferedLines)
	if config.IsRoutine == nil {
		config.IsRoutine = func(string) bool { return false }
	}
	asyncLogger := &AsyncLogger{queue: make(chan []byte, config.MaxBufferedLines), closing: make(chan struct{}), flushed: make(chan struct{})}
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	encoder := zapcore.NewJSONEncoder(encoding)
	if config.Text {
		encoder = zapcore.NewConsoleEncoder(encoding)
	}
	core := &asyncCore{
		Core:        zapcore.NewCore(encoder, asyncLogger, level),
		asyncLogger: asyncLogger, isRoutine: config.IsRoutine,
		allLimiter:     rate.NewLimiter(rate.Limit(config.LineRate), int(config.LineRate)),
		routineLimiter: rate.NewLimiter(rate.Limit(config.RoutineRate), int(config.RoutineRate)),
	}
	asyncLogger.logger = zap.New(core).With(zap.String("instance", config.Instance))
	go asyncLogger.writeLines(config.Output)
	go asyncLogger.reportDropped()
	return asyncLogger, nil
}

// Logger returns the logger whose lines are written.
func (asyncLogger *AsyncLogger) Logger() *zap.Logger { return asyncLogger.logger }

// Write implements zapcore.WriteSyncer. It queues a copy of the line, or drops
// the line if the queue is full.
func (asyncLogger *AsyncLogger) Write(line []byte) (int, error) {
	copied := append([]byte(nil), line...)
	select {
	case asyncLogger.queue <- copied:
	default:
		asyncLogger.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer and does nothing.
func (*AsyncLogger) Sync() error { return nil }

// Close stops the logger and writes the queued lines, for at most the given time.
func (asyncLogger *AsyncLogger) Close(within time.Duration) {
	asyncLogger.closeOnce.Do(func() { close(asyncLogger.closing) })
	timer := time.NewTimer(within)
	defer timer.Stop()
	select {
	case <-asyncLogger.flushed:
	case <-timer.C:
	}
}

func (asyncLogger *AsyncLogger) writeLines(output io.Writer) {
	defer close(asyncLogger.flushed)
	for {
		select {
		case line := <-asyncLogger.queue:
			_, _ = output.Write(line)
		case <-asyncLogger.closing:
			for {
				select {
				case line := <-asyncLogger.queue:
					_, _ = output.Write(line)
				default:
					return
				}
			}
		}
	}
}

// reportDropped logs the number of dropped lines at each reportInterval in which
// there were any.
func (asyncLogger *AsyncLogger) reportDropped() {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-asyncLogger.closing:
			return
		case <-ticker.C:
			if dropped := asyncLogger.dropped.Swap(0); dropped > 0 {
				asyncLogger.logger.Warn("log: lines dropped", zap.Int64("lines", dropped))
			}
		}
	}
}

// asyncCore drops lines that exceed the rate limits.
type asyncCore struct {
	zapcore.Core
	asyncLogger    *AsyncLogger
	isRoutine      func(string) bool
	allLimiter     *rate.Limiter
	routineLimiter *rate.Limiter
}

// With implements zapcore.Core.
func (core *asyncCore) With(fields []zapcore.Field) zapcore.Core {
	copied := *core
	copied.Core = core.Core.With(fields)
	return &copied
}

// Check implements zapcore.Core.
func (core *asyncCore) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !core.Enabled(entry.Level) {
		return checked
	}
	if core.isRoutine(entry.Message) && !core.routineLimiter.Allow() || !core.allLimiter.Allow() {
		core.asyncLogger.dropped.Add(1)
		return checked
	}
	return checked.AddCore(entry, core)
}
