package logs

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
)

// stalledWriter blocks all writes until it is released.
type stalledWriter struct {
	release chan struct{}
	mutex   sync.Mutex
	text    bytes.Buffer
}

func (stalledWriter *stalledWriter) Write(line []byte) (int, error) {
	<-stalledWriter.release
	stalledWriter.mutex.Lock()
	defer stalledWriter.mutex.Unlock()
	return stalledWriter.text.Write(line)
}

// TestStalledReader guards against requests that wait because log lines cannot be
// written, such as to a full pipe, and against lines that are dropped without a
// message about it.
func TestStalledReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		output := &stalledWriter{release: make(chan struct{})}
		asyncLogger, err := NewAsyncLogger(AsyncLoggerConfig{Output: output, MaxBufferedLines: 10, Config: Config{Instance: "edge-1"}})
		if err != nil {
			t.Fatal(err)
		}
		began := time.Now()
		for range 100 {
			asyncLogger.Logger().Info("relay: request refused")
		}
		if took := time.Since(began); took > 0 {
			t.Errorf("100 lines took %v while writes were blocked", took)
		}
		close(output.release)
		time.Sleep(2 * time.Second)
		asyncLogger.Close(time.Second)
		text := output.text.String()
		if got := strings.Count(text, "request refused"); got < 10 || got > 12 {
			t.Errorf("%d lines were written, want the 10 that fit into the buffer", got)
		}
		if !strings.Contains(text, `"msg":"log: lines dropped"`) || !strings.Contains(text, `"instance":"edge-1"`) {
			t.Errorf("no line says that lines were dropped: %s", text)
		}
	})
}

// TestRoutine guards against lines about answered requests that displace lines
// about refused requests.
func TestRoutine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var output bytes.Buffer
		asyncLogger, err := NewAsyncLogger(AsyncLoggerConfig{
			Output: &output, LineRate: 50, RoutineRate: 10,
			IsRoutine: func(message string) bool { return message == "relay: request answered" },
		})
		if err != nil {
			t.Fatal(err)
		}
		for range 40 {
			asyncLogger.Logger().Info("relay: request answered")
			asyncLogger.Logger().Info("relay: request refused", zap.String("reason", "full"))
		}
		asyncLogger.Close(time.Second)
		synctest.Wait()
		answered, refused := strings.Count(output.String(), "answered"), strings.Count(output.String(), "refused")
		if answered != 10 || refused != 40 {
			t.Errorf("%d lines about answered and %d about refused requests were written, want 10 and 40", answered, refused)
		}
	})
}
