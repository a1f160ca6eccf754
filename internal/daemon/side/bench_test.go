package side

import (
	"context"
	"testing"
)

// BenchmarkRun measures one model request with one token over net.Pipe, with a
// loaded adapter and an engine that responds at once.
func BenchmarkRun(b *testing.B) {
	harness := newHarness(b, nil)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	harness.ctx = ctx
	harness.fakeEngine.tokenInterval, harness.fakeEngine.tokens, harness.fakeEngine.loadTime = 0, 1, 0
	go func() { _ = harness.Serve(ctx) }()
	client := harness.client(ctx)
	b.ReportAllocs()
	for b.Loop() {
		harness.fakeEngine.calls, harness.fakeEngine.reports = nil, nil
		stream, err := client.Run(ctx, harness.request())
		if err != nil {
			b.Fatal(err)
		}
		var got result
		for event, err := stream.Recv(); err == nil; event, err = stream.Recv() {
			got.add(event)
		}
		if !got.Done {
			b.Fatalf("%+v", got)
		}
	}
}
