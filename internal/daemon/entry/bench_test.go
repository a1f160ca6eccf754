package entry

import (
	"net/http"
	"testing"
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/policy"
)

// BenchmarkRelay serves streamed responses of 100 tokens over in-memory pipes. It
// includes the cost of the fake side process and of the caller.
func BenchmarkRelay(b *testing.B) {
	harness := newHarness(b)
	tokens := make([]string, 100)
	for index := range tokens {
		tokens[index] = " token"
	}
	harness.setScripts(runScript(eventSender.started, chunks(0, tokens...), eventSender.done))
	harness.config.NewPolicy = func(_ string, _ bool, health policy.Health) policy.Policy {
		router, err := policy.New(policy.Config{Health: health, Start: time.Now()})
		if err != nil {
			b.Fatal(err)
		}
		return router
	}
	harness.start()
	b.ReportAllocs()
	for b.Loop() {
		if got := harness.chat(`,"stream":true`); got.status != http.StatusOK {
			b.Fatalf("response %+v", got)
		}
	}
	_ = harness.entry.server.Close()
}
