//go:build review

// Standin plays the stand-ins of the scripts under review: the platform's store, its
// operator, runners and clients. It starts relays and loaders as separate processes,
// and judges only what the stand-ins have seen.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenarioArgument and recordArgument are the places of the arguments.
const (
	scenarioArgument = 1
	recordArgument   = 2
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
	if len(os.Args) <= recordArgument || scenarios[os.Args[scenarioArgument]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin SCENARIO RECORD")
		os.Exit(exitNotRun)
	}
	var err error
	recordOut, err = os.Create(os.Args[recordArgument])
	check(err)
	// The thread that starts processes must live as long as they do.
	runtime.LockOSThread()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() { finish(exitNotRun, "the case was ended by the signal %v", <-signals) }()
	trouble := os.Getenv("TROUBLE") != "0"
	broken := scenarios[os.Args[scenarioArgument]](trouble)
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
