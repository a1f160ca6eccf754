package chaos

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/BurntSushi/toml"

	"jacinthfront.dev/jacinthfront/internal/bench/infra"
)

const (
	osEntryCount   = 3
	osServiceCount = 3
	osRequestCount = 130
	osSendWindow   = 24 * time.Second
	suspendTime    = 1500 * time.Millisecond
)

// osDeployment is a deployment of operating system processes on TCP. The simulators
// run in the test's process.
type osDeployment struct {
	*deployment
	t         *testing.T
	directory string
	commands  map[string]*command
}

// command is an operating system process that runs jacinthfront.
type command struct {
	*exec.Cmd
	exited chan struct{}
	ready  atomic.Bool
}

// reserveAddresses returns free addresses for all listeners of a deployment.
func reserveAddresses(t *testing.T) map[string]string {
	addresses := map[string]string{}
	var names []string
	for index := range osEntryCount {
		name := fmt.Sprintf("entry-%d", index+1)
		for _, port := range []int{peersPort, operatorsPort, callersPort} {
			names = append(names, fmt.Sprintf("%s:%d", name, port))
		}
	}
	names = append(names, fmt.Sprintf("%s:%d", platformName, servicePort))
	for index := range engineCount + osServiceCount {
		name := fmt.Sprintf("%s-%d", modelService, index+1)
		if index >= engineCount {
			name = fmt.Sprintf("%s-%d", plainService, index-engineCount+1)
		}
		names = append(names, fmt.Sprintf("%s:%d", name, servicePort))
		for _, port := range []int{peersPort, operatorsPort} {
			names = append(names, fmt.Sprintf("side-%s:%d", name, port))
		}
	}
	for _, name := range names {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = listener.Close() }()
		addresses[name] = listener.Addr().String()
	}
	return addresses
}

func newOSDeployment(t *testing.T) *osDeployment {
	random := rand.New(rand.NewPCG(*firstSeed, 13))
	schedule := Schedule{Seed: *firstSeed}
	for index := range osRequestCount {
		request := generateRequest(random, index)
		request.At = time.Duration(random.Int64N(int64(osSendWindow)))
		request.Entry = random.IntN(osEntryCount)
		schedule.Requests = append(schedule.Requests, request)
	}
	deployment, err := newDeployment(schedule, osServiceCount, reserveAddresses(t))
	t.Cleanup(deployment.close)
	if err != nil {
		t.Fatal(err)
	}
	osDeployment := &osDeployment{deployment: deployment, t: t, directory: t.TempDir(), commands: map[string]*command{}}
	build := exec.Command("go", "build", "-o", osDeployment.directory, "./cmd/jacinthfront")
	build.Dir = "../../.."
	if output, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, output)
	}
	return osDeployment
}

// writeSettings writes the settings file of a process and returns its path.
func (osDeployment *osDeployment) writeSettings(process *process) string {
	var settings any = process.sideSettings
	if process.upstream == "" {
		settings = process.entrySettings
	}
	var text bytes.Buffer
	if err := toml.NewEncoder(&text).Encode(settings); err != nil {
		osDeployment.t.Fatal(err)
	}
	file := filepath.Join(osDeployment.directory, process.name+".toml")
	if err := os.WriteFile(file, text.Bytes(), 0o600); err != nil {
		osDeployment.t.Fatal(err)
	}
	return file
}

func (osDeployment *osDeployment) run(process *process) *command {
	role := "side"
	if process.upstream == "" {
		role = "entry"
	}
	file := osDeployment.writeSettings(process)
	check := exec.Command(filepath.Join(osDeployment.directory, "jacinthfront"), "check", "--role", role, "--settings", file)
	if output, err := check.CombinedOutput(); err != nil {
		osDeployment.t.Fatalf("%s: %v\n%s", file, err, output)
	}
	command := &command{Cmd: exec.Command(filepath.Join(osDeployment.directory, "jacinthfront"), role, "--settings", file), exited: make(chan struct{})}
	command.Stderr = osDeployment.logScanner
	if err := command.Start(); err != nil {
		osDeployment.t.Fatal(err)
	}
	go func() {
		_ = command.Wait()
		close(command.exited)
	}()
	return command
}

// startProcess starts a process, polls its readiness until it exits, and puts it on
// the instance list.
func (osDeployment *osDeployment) startProcess(process *process) {
	command := osDeployment.run(process)
	osDeployment.commands[process.name] = command
	process.mutex.Lock()
	process.readyProbe, process.started = command.ready.Load, time.Now()
	process.mutex.Unlock()
	url := "http://" + osDeployment.address(process.name, operatorsPort) + "/readyz"
	client := &http.Client{Timeout: 300 * time.Millisecond}
	go func() {
		for {
			select {
			case <-command.exited:
				command.ready.Store(false)
				return
			case <-time.After(50 * time.Millisecond):
			}
			response, err := client.Get(url)
			command.ready.Store(err == nil && response.StatusCode == http.StatusOK)
			if err == nil {
				_ = response.Body.Close()
			}
		}
	}()
	process.listState = infra.StateLive
	if err := process.announce(); err != nil {
		osDeployment.t.Error(err)
	}
}

func (osDeployment *osDeployment) awaitReady(process *process) {
	for limit := time.Now().Add(10 * time.Second); !process.ready(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(limit) {
			osDeployment.t.Fatalf("%s is not ready after 10 s", process.name)
		}
	}
}

// signal sends a signal to a process that this test started.
func (osDeployment *osDeployment) signal(process *process, signal syscall.Signal) {
	if err := osDeployment.commands[process.name].Process.Signal(signal); err != nil {
		osDeployment.t.Errorf("%s: %v: %v", process.name, signal, err)
	}
}

// kill kills a process under load and starts it again.
func (osDeployment *osDeployment) kill(process *process) {
	process.countDisruption()
	osDeployment.signal(process, syscall.SIGKILL)
	<-osDeployment.commands[process.name].exited
	time.Sleep(300 * time.Millisecond)
	osDeployment.startProcess(process)
}

// suspend stops a process with SIGSTOP and continues it after suspendTime.
func (osDeployment *osDeployment) suspend(process *process) {
	since := time.Now()
	process.countDisruption()
	osDeployment.signal(process, syscall.SIGSTOP)
	time.Sleep(suspendTime)
	process.countDisruption()
	process.recordUnreachable(since)
	osDeployment.signal(process, syscall.SIGCONT)
}

// terminate stops a process gracefully under load, checks that no request was cut,
// and starts the process again.
func (osDeployment *osDeployment) terminate(process *process) {
	since := time.Now()
	osDeployment.announceDraining(process)
	osDeployment.signal(process, syscall.SIGTERM)
	command := osDeployment.commands[process.name]
	select {
	case <-command.exited:
	case <-time.After(requestTimeout):
		osDeployment.t.Errorf("%s did not end within %s after SIGTERM", process.name, requestTimeout)
		return
	}
	if code := command.ProcessState.ExitCode(); code != 0 {
		osDeployment.t.Errorf("%s ended with code %d after SIGTERM", process.name, code)
	}
	osDeployment.checkNothingCut(process, since)
	// After the restart the upstream is no longer draining.
	osDeployment.draining = nil
	osDeployment.startProcess(process)
}

// checkNothingCut checks that no request at the engine of a terminated side process
// was cut after a time.
func (osDeployment *osDeployment) checkNothingCut(process *process, since time.Time) {
	for index, engine := range osDeployment.engines {
		if osDeployment.upstreams[index] != process.upstream {
			continue
		}
		for _, start := range engine.Observed().AcceptedRequests {
			if start.Ended.After(since) && start.Outcome != "finished" {
				osDeployment.t.Errorf("SIGTERM of %s cut a request: %+v", process.name, start)
			}
		}
	}
}

// startSecond checks that a second process at the same addresses fails to start.
func (osDeployment *osDeployment) startSecond(process *process) {
	command := osDeployment.run(process)
	select {
	case <-command.exited:
		if command.ProcessState.Success() {
			osDeployment.t.Errorf("a second %s ended without an error", process.name)
		}
	case <-time.After(5 * time.Second):
		osDeployment.t.Errorf("a second %s started at the same address", process.name)
		_ = command.Process.Kill()
		<-command.exited
	}
}

// TestProcesses guards against failures that the in-memory network cannot show:
// those caused by real signals, by the kernel's socket buffers, and by the address
// that a suspended process keeps in use.
func TestProcesses(t *testing.T) {
	if testing.Short() {
		t.Skip("runs for 50 s")
	}
	osDeployment := newOSDeployment(t)
	t.Cleanup(func() {
		for _, command := range osDeployment.commands {
			_ = command.Process.Kill()
			<-command.exited
		}
	})
	for index, upstream := range osDeployment.upstreams {
		osDeployment.sides = append(osDeployment.sides, osDeployment.newSide(index, upstream))
	}
	for index := range osEntryCount {
		osDeployment.entries = append(osDeployment.entries, osDeployment.newEntry(index))
	}
	for _, process := range osDeployment.processes() {
		osDeployment.startProcess(process)
	}
	for _, process := range osDeployment.processes() {
		osDeployment.awaitReady(process)
	}
	time.Sleep(settleTime)
	osDeployment.startedAt = time.Now()
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		osDeployment.sendAll(context.Background())
	}()
	osDeployment.disruptAll()
	<-sent
	time.Sleep(time.Second)
	checker := osDeployment.check()
	for _, violation := range checker.violations {
		t.Error(violation)
	}
	osDeployment.logSummary(checker)
}

// disruptAll kills, suspends or terminates each process, one after the other.
func (osDeployment *osDeployment) disruptAll() {
	actions := []struct {
		name string
		act  func(*process)
	}{{"SIGKILL", osDeployment.kill}, {"SIGSTOP", osDeployment.suspend}, {"SIGTERM", osDeployment.terminate}}
	for index, process := range osDeployment.processes() {
		// Each signal goes to one entry instance and two side processes.
		action := actions[index%len(actions)]
		osDeployment.recordEvent("%s to %s", action.name, process.name)
		if process.upstream != "" && action.name == "SIGSTOP" {
			go func() {
				time.Sleep(suspendTime / 3)
				osDeployment.startSecond(process)
			}()
		}
		action.act(process)
		time.Sleep(800 * time.Millisecond)
	}
}

func (osDeployment *osDeployment) logSummary(checker *checker) {
	counts := map[string]int{}
	for _, result := range osDeployment.results {
		switch {
		case result.Complete:
			counts["complete"]++
		case result.Err != nil:
			counts["broken"]++
		default:
			counts[result.Ran]++
		}
	}
	osDeployment.t.Logf("%d dispatches, responses %v in %s", len(checker.dispatched), counts, time.Since(osDeployment.startedAt).Round(time.Second))
	for _, event := range osDeployment.events {
		osDeployment.t.Log(event)
	}
	if counts["complete"] < len(osDeployment.results)/2 {
		osDeployment.t.Errorf("only %d of %d responses are complete", counts["complete"], len(osDeployment.results))
	}
}
