package entry

import (
	"net/http"
	"testing"
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/policy"
)

// BenchmarkRelay serves streamed answers of 100 tokens over pipes, the fake side
// process and the caller included.
func BenchmarkRelay(b *testing.B) {
	world := newWorld(b)
	tokens := make([]string, 100)
	for index := range tokens {
		tokens[index] = " token"
	}
	world.set(act(script.started, chunks(0, tokens...), script.done))
	world.config.NewPolicy = func(_ string, _ bool, health policy.Health) policy.Policy {
		router, err := policy.New(policy.Config{Health: health, Start: time.Now()})
		if err != nil {
			b.Fatal(err)
		}
		return router
	}
	world.start()
	b.ReportAllocs()
	for b.Loop() {
		if got := world.chat(`,"stream":true`); got.status != http.StatusOK {
			b.Fatalf("answer %+v", got)
		}
	}
	_ = world.entry.server.Close()
}
