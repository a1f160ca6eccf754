package order

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkRank guards against a time that grows with the square of the number of waiting
// requests, as a loader ranks them at each datagram. Half of them have no goal, and most
// of the others cannot be in time.
func BenchmarkRank(b *testing.B) {
	now := time.Unix(1_000, 0)
	for _, count := range []int{200, 1000, 4000} {
		requests := make([]Request, count)
		for i := range requests {
			delay := time.Duration(i) * time.Microsecond
			requests[i] = Request{Tokens: 50, ArrivedAt: now.Add(-delay), Organisation: uint32(i % 7), Priority: i % 3}
			if i%2 == 0 {
				requests[i].StartBy = now.Add(time.Second + delay)
			}
		}
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			ranker := New(Config{})
			for b.Loop() {
				ranker.Rank(requests, Capacity{Free: 2000, Rate: 18}, now)
			}
		})
	}
}
