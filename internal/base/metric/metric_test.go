package metric

import (
	"fmt"
	"sync"
	"testing"
)

// Guards against two parts of one process that publish the same map at the
// same time, at which expvar ends the program.
func TestMapAtOnce(*testing.T) {
	for round := range 200 {
		var group sync.WaitGroup
		for range 8 {
			group.Go(func() { Map(fmt.Sprintf("at-once-%d", round)) })
		}
		group.Wait()
	}
}
