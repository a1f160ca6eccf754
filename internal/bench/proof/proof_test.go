package proof

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
)

var (
	seeds = flag.Uint64("seeds", 1000, "number of schedules")
	from  = flag.Uint64("from", 1, "first seed")
)

// knownRed returns what KNOWN-RED.txt says of a test, if it lists it. An entry
// begins with the test's full name and a colon.
func knownRed(t *testing.T) string {
	t.Helper()
	data, err := os.ReadFile("../../../KNOWN-RED.txt")
	if err != nil {
		return ""
	}
	for line := range strings.Lines(string(data)) {
		if strings.HasPrefix(line, t.Name()+":") {
			return strings.TrimSpace(line)
		}
	}
	return ""
}

// TestSchedules guards against every broken invariant that two failures at a
// time can bring about.
func TestSchedules(t *testing.T) {
	var mutex sync.Mutex
	var totals Totals
	t.Run("seed", func(t *testing.T) {
		for seed := *from; seed < *from+*seeds; seed++ {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				if known := knownRed(t); known != "" {
					fmt.Println("known red:", known)
					t.Skip(known)
				}
				synctest.Test(t, func(t *testing.T) {
					report, err := Run(t.Context(), Generate(seed))
					if err != nil {
						t.Fatal(err)
					}
					mutex.Lock()
					defer mutex.Unlock()
					totals.Add(report)
					if len(report.Violations) > 0 {
						t.Error(strings.Join(report.Lines(false), "\n"))
					}
				})
			})
		}
	})
	t.Log(totals.String())
}
