//go:build review

// Standin plays the stand-ins of the scripts under review: the platform's store, its
// operator, runners and clients. It starts relays and loaders as separate processes,
// and judges only what the stand-ins have seen.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit codes of a script.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitNotRun  = 2
	recordsFile = 2
)

var (
	begin       = time.Now()
	recordMutex sync.Mutex
	recordOut   *os.File
	running     *deployment
)

// scenarios holds the scenarios by name. Each returns whether the rule was broken. With
// trouble false it leaves out the disruption.
var scenarios = map[string]func(trouble bool) bool{
	"stale-key":     staleKey,
	"broken-head":   brokenHead,
	"deadly-burst":  deadlyBurst,
	"joined-events": joinedEvents,
	"late-config":   lateConfig,
}

func main() {
	if len(os.Args) <= recordsFile || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin SCENARIO RECORD")
		os.Exit(exitNotRun)
	}
	var err error
	recordOut, err = os.Create(os.Args[recordsFile])
	check(err)
	trouble := os.Getenv("TROUBLE") != "0"
	broken := scenarios[os.Args[1]](trouble)
	if broken {
		finish(exitBroken, "the rule was broken")
	}
	finish(exitHeld, "the rule held")
}

// finish ends all processes and exits.
func finish(code int, format string, arguments ...any) {
	record(format, arguments...)
	fmt.Printf(format+"\n", arguments...)
	if running != nil {
		running.stop()
	}
	os.Exit(code)
}

// check ends the run if it cannot go on.
func check(err error) {
	if err != nil {
		finish(exitNotRun, "the case could not run: %v", err)
	}
}

// require ends the run if a condition of the case does not hold.
func require(condition bool, format string, arguments ...any) {
	if !condition {
		finish(exitNotRun, "the case could not run: "+format, arguments...)
	}
}

// await waits until a condition holds.
func await(limit time.Duration, failure string, condition func() bool) {
	for until := time.Now().Add(limit); !condition(); time.Sleep(20 * time.Millisecond) {
		require(time.Now().Before(until), "%s", failure)
	}
}

// record writes a line with the seconds since the start.
func record(format string, arguments ...any) { recordAt(time.Now(), format, arguments...) }

// recordAt writes a line about what was at a time.
func recordAt(at time.Time, format string, arguments ...any) {
	recordMutex.Lock()
	defer recordMutex.Unlock()
	if recordOut != nil {
		_, _ = fmt.Fprintf(recordOut, "%9.4f  %s\n", at.Sub(begin).Seconds(), fmt.Sprintf(format, arguments...))
	}
}
