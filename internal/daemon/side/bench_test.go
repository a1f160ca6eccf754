package side

import (
	"context"
	"testing"
)

// BenchmarkRun measures one model request with one token over net.Pipe, with a
// loaded adapter and an engine that answers at once.
func BenchmarkRun(b *testing.B) {
	rig := newRig(b, nil)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	rig.ctx = ctx
	rig.fake.pace, rig.fake.tokens, rig.fake.loadTime = 0, 1, 0
	go func() { _ = rig.Serve(ctx) }()
	client := rig.client(ctx)
	b.ReportAllocs()
	for b.Loop() {
		rig.fake.calls, rig.fake.reports = nil, nil
		stream, err := client.Run(ctx, rig.request())
		if err != nil {
			b.Fatal(err)
		}
		var seen result
		for event, err := stream.Recv(); err == nil; event, err = stream.Recv() {
			seen.add(event)
		}
		if !seen.Done {
			b.Fatalf("%+v", seen)
		}
	}
}
