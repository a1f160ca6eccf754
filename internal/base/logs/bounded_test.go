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

// stalled is a reader that takes nothing until it is released.
type stalled struct {
	release chan struct{}
	mutex   sync.Mutex
	text    bytes.Buffer
}

func (stalled *stalled) Write(line []byte) (int, error) {
	<-stalled.release
	stalled.mutex.Lock()
	defer stalled.mutex.Unlock()
	return stalled.text.Write(line)
}

// TestStalledReader guards against requests that wait for a full pipe, and
// against lines that are left out unsaid.
func TestStalledReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		output := &stalled{release: make(chan struct{})}
		bounded, err := NewAsyncLogger(AsyncLoggerConfig{Output: output, Pending: 10, Config: Config{Instance: "edge-1"}})
		if err != nil {
			t.Fatal(err)
		}
		began := time.Now()
		for range 100 {
			bounded.Logger().Info("relay: request refused")
		}
		if took := time.Since(began); took > 0 {
			t.Errorf("100 lines took %v while the reader was stalled", took)
		}
		close(output.release)
		time.Sleep(2 * time.Second)
		bounded.Close(time.Second)
		text := output.text.String()
		if got := strings.Count(text, "request refused"); got < 10 || got > 12 {
			t.Errorf("%d lines were written, want the 10 that could wait", got)
		}
		if !strings.Contains(text, `"msg":"log: lines left out"`) || !strings.Contains(text, `"instance":"edge-1"`) {
			t.Errorf("no line says that lines were left out: %s", text)
		}
	})
}

// TestRoutine guards against answered requests crowding out refusals.
func TestRoutine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var output bytes.Buffer
		bounded, err := NewAsyncLogger(AsyncLoggerConfig{
			Output: &output, Lines: 50, Routine: 10,
			IsRoutine: func(message string) bool { return message == "relay: request answered" },
		})
		if err != nil {
			t.Fatal(err)
		}
		for range 40 {
			bounded.Logger().Info("relay: request answered")
			bounded.Logger().Info("relay: request refused", zap.String("reason", "full"))
		}
		bounded.Close(time.Second)
		synctest.Wait()
		answered, refused := strings.Count(output.String(), "answered"), strings.Count(output.String(), "refused")
		if answered != 10 || refused != 40 {
			t.Errorf("%d answers and %d refusals were written, want 10 and 40", answered, refused)
		}
	})
}
