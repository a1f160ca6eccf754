package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// hangupDelay is the time between the signal and the rest of the start.
const hangupDelay = 200 * time.Millisecond

// TestHangupAtStart guards against a relay that ends as it is told to read its settings
// again while it starts (LOST, seed 2 of TestCrashSoak, issue 47).
func TestHangupAtStart(t *testing.T) {
	directory := t.TempDir()
	program := filepath.Join(directory, "jacinthfront")
	if text, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, text)
	}
	// The settings are read from a pipe, so that the start lasts until the test writes them.
	settings := filepath.Join(directory, "settings")
	if err := syscall.Mkfifo(settings, 0o600); err != nil {
		t.Fatal(err)
	}
	relay := exec.Command(program, "relay", "--settings", settings)
	if err := relay.Start(); err != nil {
		t.Fatal(err)
	}
	// The open returns once the relay has opened the pipe: it has begun to start.
	pipe, err := os.OpenFile(settings, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	_ = relay.Process.Signal(syscall.SIGHUP)
	time.Sleep(hangupDelay)
	_, _ = pipe.WriteString("unknown-key = 1\n")
	_ = pipe.Close()
	err = relay.Wait()
	if status, ok := relay.ProcessState.Sys().(syscall.WaitStatus); !ok || status.Signaled() {
		t.Errorf("the relay ended by a signal: %v", err)
	}
}
