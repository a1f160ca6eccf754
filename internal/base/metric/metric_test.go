package metric

import (
	"fmt"
	"sync"
	"testing"
)

// Guards against two goroutines that publish the same map at the same time, which
// makes expvar end the process.
func TestMapAtOnce(*testing.T) {
	for round := range 200 {
		var group sync.WaitGroup
		for range 8 {
			group.Go(func() { Map(fmt.Sprintf("at-once-%d", round)) })
		}
		group.Wait()
	}
}
