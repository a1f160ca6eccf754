package main

import (
	"bufio"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

const (
	// hangupDelay is the time between the signal and the rest of the start.
	hangupDelay = 200 * time.Millisecond
	// reloadTimeout is how long a relay may take to start and to read its settings again.
	reloadTimeout = 10 * time.Second
	// setPipeSize is the command F_SETPIPE_SZ of fcntl, and pipeSize a pipe's least size in
	// bytes. The trace of a start is longer.
	setPipeSize = 1031
	pipeSize    = 4096
)

// buildProgram builds the program and returns its path.
func buildProgram(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "jacinthfront")
	if text, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, text)
	}
	return program
}

// checkNotSignaled checks that a program that has ended was not ended by a signal.
func checkNotSignaled(t *testing.T, program *exec.Cmd, err error) {
	t.Helper()
	if status, ok := program.ProcessState.Sys().(syscall.WaitStatus); !ok || status.Signaled() {
		t.Errorf("the relay ended by a signal: %v", err)
	}
}

// TestHangupBeforeMain guards against a relay that ends as it is told to read its settings
// again while its packages are initialised (LOST, seed 40 of TestCrashSoak, issue 47). The
// runtime traces that into a pipe that is full, which holds the relay up before main.
func TestHangupBeforeMain(t *testing.T) {
	relay := exec.Command(buildProgram(t), "relay", "--settings", filepath.Join(t.TempDir(), "missing"))
	relay.Env = append(os.Environ(), "GODEBUG=inittrace=1")
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = reader.Close() }()
	if size, _, errno := syscall.Syscall(syscall.SYS_FCNTL, writer.Fd(), setPipeSize, pipeSize); size != pipeSize {
		t.Fatalf("the pipe has %d bytes, want %d: %v", size, pipeSize, errno)
	}
	relay.Stderr = writer
	if err := relay.Start(); err != nil {
		t.Fatal(err)
	}
	_ = writer.Close()
	trace := bufio.NewReaderSize(reader, 1)
	if _, err := trace.ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	_ = relay.Process.Signal(syscall.SIGHUP)
	time.Sleep(hangupDelay)
	rest, _ := io.ReadAll(trace)
	if len(rest) <= 2*pipeSize {
		t.Errorf("the trace has %d bytes more, too few to hold the relay up", len(rest))
	}
	err = relay.Wait()
	checkNotSignaled(t, relay, err)
}

// TestHangupAtStart guards against a relay that ends as it is told to read its settings
// again while it starts (LOST, seed 2 of TestCrashSoak, issue 47).
func TestHangupAtStart(t *testing.T) {
	// The settings are read from a pipe, so that the start lasts until the test writes them.
	program, settings := buildProgram(t), filepath.Join(t.TempDir(), "settings")
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
	checkNotSignaled(t, relay, err)
}

// TestHangupReloads guards against a relay that keeps ignoring SIGHUP once it runs.
func TestHangupReloads(t *testing.T) {
	settings := filepath.Join(t.TempDir(), "relay.toml")
	text := `instance = "edge-1"
failure-domain = "hall-a"
store = "127.0.0.1:1"
[listen]
callers = "127.0.0.1:0"
probes = "127.0.0.1:0"
metrics = "127.0.0.1:0"
[peers]
listen = "127.0.0.1:0"
`
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	relay := exec.Command(buildProgram(t), "relay", "--settings", settings)
	stdout, err := relay.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	stderr, err := relay.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := relay.Start(); err != nil {
		t.Fatal(err)
	}
	// A relay that does not react is killed, which ends the reads below.
	timer := time.AfterFunc(reloadTimeout, func() { _ = relay.Process.Kill() })
	defer timer.Stop()
	if _, err := bufio.NewReader(stdout).ReadString('\n'); err != nil {
		t.Fatalf("the relay logged nothing: %v", err)
	}
	if err := os.WriteFile(settings, []byte("unknown-key = 1\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	_ = relay.Process.Signal(syscall.SIGHUP)
	line, _ := bufio.NewReader(stderr).ReadString('\n')
	if !strings.Contains(line, "cannot reload the settings") {
		t.Errorf("the relay wrote %q after SIGHUP, want that it cannot reload the settings", line)
	}
	_ = relay.Process.Kill()
	_ = relay.Wait()
}
