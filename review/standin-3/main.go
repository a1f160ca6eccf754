//go:build review

// Command standin-3 plays cases of the independent review: it starts the project's
// relays and loaders as separate processes, stands in for the platform's store, the runners and
// the clients, and checks one rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var (
	began       = time.Now()
	recordMutex sync.Mutex
	recordFile  *os.File
	running     *deployment
	// trouble means that the disruption of the case happens.
	trouble = os.Getenv("TROUBLE") != "0"
)

// note adds a line to the record.
func note(format string, values ...any) {
	recordMutex.Lock()
	defer recordMutex.Unlock()
	fmt.Fprintf(recordFile, "%7.3f s  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, values...))
}

// finish ends all processes and the case.
func finish(code int, format string, values ...any) {
	note(format, values...)
	fmt.Printf(format+"\n", values...)
	if running != nil {
		running.end()
	}
	os.Exit(code)
}

// cannotRun ends a case that could not run.
func cannotRun(format string, values ...any) { finish(exitNotRun, "not run: "+format, values...) }

func main() {
	cases := map[string]func(){
		"unread-cut": unreadCut, "revoked-key": revokedKey, "slow-reader": slowReader, "options-asterisk": optionsAsterisk, "taken-up": takenUp,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE FOLDER")
		os.Exit(exitNotRun)
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	recordFile = file
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() { cannotRun("ended by signal %v", <-signals) }()
	note("case %s, disruption: %v", os.Args[1], trouble)
	running = newDeployment()
	// A case ends within 100 seconds.
	time.AfterFunc(100*time.Second, func() { cannotRun("the case took too long") })
	cases[os.Args[1]]()
}
