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
	systemEntries  = 3
	systemServices = 3
	systemRequests = 130
	systemLoad     = 24 * time.Second
	stopTime       = 1500 * time.Millisecond
)

// system is a deployment of operating system processes.
type system struct {
	*world
	t         *testing.T
	directory string
	commands  map[string]*command
}

// command is one process of the operating system.
type command struct {
	*exec.Cmd
	exited chan struct{}
	ready  atomic.Bool
}

// reserve returns free addresses for all listeners of a deployment.
func reserve(t *testing.T) map[string]string {
	addresses := map[string]string{}
	var names []string
	for index := range systemEntries {
		name := fmt.Sprintf("entry-%d", index+1)
		for _, port := range []int{peersPort, operatorsPort, callersPort} {
			names = append(names, fmt.Sprintf("%s:%d", name, port))
		}
	}
	names = append(names, fmt.Sprintf("%s:%d", platformName, servicePort))
	for index := range engineCount + systemServices {
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

func newSystem(t *testing.T) *system {
	random := rand.New(rand.NewPCG(*from, 13))
	schedule := Schedule{Seed: *from}
	for index := range systemRequests {
		request := generateRequest(random, index)
		request.At = time.Duration(random.Int64N(int64(systemLoad)))
		request.Entry = random.IntN(systemEntries)
		schedule.Requests = append(schedule.Requests, request)
	}
	world, err := newWorld(schedule, systemServices, reserve(t))
	t.Cleanup(world.close)
	if err != nil {
		t.Fatal(err)
	}
	system := &system{world: world, t: t, directory: t.TempDir(), commands: map[string]*command{}}
	build := exec.Command("go", "build", "-o", system.directory, "./cmd/jacinthfront")
	build.Dir = "../../.."
	if output, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, output)
	}
	return system
}

// settings writes the settings file of a process and returns its name.
func (system *system) settings(process *process) string {
	var settings any = process.side
	if process.upstream == "" {
		settings = process.entry
	}
	var text bytes.Buffer
	if err := toml.NewEncoder(&text).Encode(settings); err != nil {
		system.t.Fatal(err)
	}
	file := filepath.Join(system.directory, process.name+".toml")
	if err := os.WriteFile(file, text.Bytes(), 0o600); err != nil {
		system.t.Fatal(err)
	}
	return file
}

func (system *system) run(process *process) *command {
	role := "side"
	if process.upstream == "" {
		role = "entry"
	}
	file := system.settings(process)
	check := exec.Command(filepath.Join(system.directory, "jacinthfront"), "check", "--role", role, "--settings", file)
	if output, err := check.CombinedOutput(); err != nil {
		system.t.Fatalf("%s: %v\n%s", file, err, output)
	}
	command := &command{Cmd: exec.Command(filepath.Join(system.directory, "jacinthfront"), role, "--settings", file), exited: make(chan struct{})}
	command.Stderr = system.lines
	if err := command.Start(); err != nil {
		system.t.Fatal(err)
	}
	go func() {
		_ = command.Wait()
		close(command.exited)
	}()
	return command
}

// startProcess starts a process, follows its readiness and lists it.
func (system *system) startProcess(process *process) {
	command := system.run(process)
	system.commands[process.name] = command
	process.mutex.Lock()
	process.probe, process.started = command.ready.Load, time.Now()
	process.mutex.Unlock()
	url := "http://" + system.address(process.name, operatorsPort) + "/readyz"
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
	process.state = infra.StateLive
	if err := process.announce(); err != nil {
		system.t.Error(err)
	}
}

func (system *system) await(process *process) {
	for limit := time.Now().Add(10 * time.Second); !process.ready(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(limit) {
			system.t.Fatalf("%s is not ready after 10 s", process.name)
		}
	}
}

// signal sends a signal to a process that this test started.
func (system *system) signal(process *process, signal syscall.Signal) {
	if err := system.commands[process.name].Process.Signal(signal); err != nil {
		system.t.Errorf("%s: %v: %v", process.name, signal, err)
	}
}

// kill kills a process under load and starts it again.
func (system *system) kill(process *process) {
	process.disturbCallers()
	system.signal(process, syscall.SIGKILL)
	<-system.commands[process.name].exited
	time.Sleep(300 * time.Millisecond)
	system.startProcess(process)
}

// suspend stops a process and continues it.
func (system *system) suspend(process *process) {
	begin := time.Now()
	process.disturbCallers()
	system.signal(process, syscall.SIGSTOP)
	time.Sleep(stopTime)
	process.disturbCallers()
	process.disturb(begin)
	system.signal(process, syscall.SIGCONT)
}

// terminate stops a process gracefully under load, checks that this cuts
// nothing, and starts it again.
func (system *system) terminate(process *process) {
	begin := time.Now()
	system.announceLeaving(process)
	system.signal(process, syscall.SIGTERM)
	command := system.commands[process.name]
	select {
	case <-command.exited:
	case <-time.After(requestLimit):
		system.t.Errorf("%s did not end within %s after SIGTERM", process.name, requestLimit)
		return
	}
	if code := command.ProcessState.ExitCode(); code != 0 {
		system.t.Errorf("%s ended with code %d after SIGTERM", process.name, code)
	}
	system.checkUncut(process, begin)
	// A restart ends the upstream's leaving.
	system.left = nil
	system.startProcess(process)
}

// checkUncut checks that no request that ran beside a terminated side process
// was cut.
func (system *system) checkUncut(process *process, begin time.Time) {
	for index, engine := range system.engines {
		if system.upstreams[index] != process.upstream {
			continue
		}
		for _, start := range engine.Observed().AcceptedRequests {
			if start.Ended.After(begin) && start.Outcome != "finished" {
				system.t.Errorf("SIGTERM of %s cut a request: %+v", process.name, start)
			}
		}
	}
}

// second checks that a second process at the same address does not start.
func (system *system) second(process *process) {
	command := system.run(process)
	select {
	case <-command.exited:
		if command.ProcessState.Success() {
			system.t.Errorf("a second %s ended without an error", process.name)
		}
	case <-time.After(5 * time.Second):
		system.t.Errorf("a second %s started at the same address", process.name)
		_ = command.Process.Kill()
		<-command.exited
	}
}

// TestProcesses guards against what the in-memory network cannot show: the
// real signals, the kernel's buffers, and the address that a stopped process
// keeps.
func TestProcesses(t *testing.T) {
	if testing.Short() {
		t.Skip("runs for 50 s")
	}
	system := newSystem(t)
	t.Cleanup(func() {
		for _, command := range system.commands {
			_ = command.Process.Kill()
			<-command.exited
		}
	})
	for index, upstream := range system.upstreams {
		system.sides = append(system.sides, system.newSide(index, upstream))
	}
	for index := range systemEntries {
		system.entries = append(system.entries, system.newEntry(index))
	}
	for _, process := range system.processes() {
		system.startProcess(process)
	}
	for _, process := range system.processes() {
		system.await(process)
	}
	time.Sleep(settleTime)
	system.begin = time.Now()
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		system.sendAll(context.Background())
	}()
	system.disturbInTurn()
	<-sent
	time.Sleep(time.Second)
	checked := system.check()
	for _, violation := range checked.found {
		t.Error(violation)
	}
	system.summarize(checked)
}

// disturbInTurn kills, suspends or terminates each process.
func (system *system) disturbInTurn() {
	actions := []struct {
		name string
		act  func(*process)
	}{{"SIGKILL", system.kill}, {"SIGSTOP", system.suspend}, {"SIGTERM", system.terminate}}
	for index, process := range system.processes() {
		// Each role meets each signal: three entry instances and twice three
		// side processes.
		action := actions[index%len(actions)]
		system.note("%s to %s", action.name, process.name)
		if process.upstream != "" && action.name == "SIGSTOP" {
			go func() {
				time.Sleep(stopTime / 3)
				system.second(process)
			}()
		}
		action.act(process)
		time.Sleep(800 * time.Millisecond)
	}
}

func (system *system) summarize(checked *checker) {
	counts := map[string]int{}
	for _, answer := range system.answers {
		switch {
		case answer.Complete:
			counts["complete"]++
		case answer.Err != nil:
			counts["broken"]++
		default:
			counts[answer.Ran]++
		}
	}
	system.t.Logf("%d dispatches, answers %v in %s", len(checked.dispatched), counts, time.Since(system.begin).Round(time.Second))
	for _, note := range system.notes {
		system.t.Log(note)
	}
	if counts["complete"] < len(system.answers)/2 {
		system.t.Errorf("only %d of %d answers are complete", counts["complete"], len(system.answers))
	}
}
