//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// deployment is a small deployment: relays and loaders as separate processes, and stand-ins of
// the store and the runners.
type deployment struct {
	store        *store
	storeAddress string
	folder       string
	// internalPort is the first of the ports between the system's processes, the same on all
	// machines, and metricsPort is used in place of the templates' port.
	internalPort, metricsPort int
	processes                 []*process
}

// process is a process of the system.
type process struct {
	name, role, settings string
	command              *exec.Cmd
	// callers and ready are the addresses of a relay.
	callers, ready string
}

func newDeployment() *deployment {
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		cannotRun("temporary folder: %v", err)
	}
	deployment := &deployment{store: newStore(), folder: folder, internalPort: freePort("udp"), metricsPort: freePort("tcp")}
	deployment.storeAddress, _ = serve("127.0.0.1", deployment.store)
	return deployment
}

// freePort returns a port that is free at all addresses, for listeners at single ones.
func freePort(network string) int {
	if network == "udp" {
		conn, err := net.ListenPacket(network, "127.0.0.1:0")
		if err != nil {
			cannotRun("free port: %v", err)
		}
		defer func() { _ = conn.Close() }()
		return conn.LocalAddr().(*net.UDPAddr).Port
	}
	listener, err := net.Listen(network, "127.0.0.1:0")
	if err != nil {
		cannotRun("free port: %v", err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().(*net.TCPAddr).Port
}

// fields returns what the platform fills into the template of a process.
func (deployment *deployment) fields(name, class, ip, app string) map[string]any {
	return map[string]any{
		"node_name": name, "machine_class": class, "ip": ip, "zone": "hall-a", "region": "zilina", "app": app,
		"listen_addresses":      map[string]any{"frontend": net.JoinHostPort(ip, strconv.Itoa(freePort("tcp"))), "ready": net.JoinHostPort(ip, strconv.Itoa(freePort("tcp")))},
		"internal_port_range":   []int{deployment.internalPort, deployment.internalPort + 15},
		"limits":                map[string]any{"memory_mb": 284},
		"heartbeat_interval_ms": 1200,
		"bounds": map[string]any{
			"stable_window_ms": 3000, "drain_ms": 2000, "grace_s": 8, "config_apply_ms": 2000, "revoke_ms": 5000, "version_ms": 5000,
			"retry_budget_ratio": 0.2, "budget_window_s": 10, "retry_budget_extra": 58, "fencing_required": true, "lease_ms": 3000,
		},
		"platform": map[string]any{"address": deployment.storeAddress},
	}
}

var (
	sectionForm     = regexp.MustCompile(`(?s)\{\{#([a-z0-9_.]+)\}\}(.*?)\{\{/([a-z0-9_.]+)\}\}`)
	placeholderForm = regexp.MustCompile(`\{\{([a-z0-9_.]+)(\|json)?\}\}`)
)

// lookup returns the field at a path, or nil.
func lookup(fields any, path string) any {
	for name := range strings.SplitSeq(path, ".") {
		switch value := fields.(type) {
		case map[string]any:
			fields = value[name]
		case []int:
			index, _ := strconv.Atoi(name)
			fields = value[index]
		default:
			return nil
		}
	}
	return fields
}

// render fills in a template as the platform does.
func render(template string, fields map[string]any) string {
	template = sectionForm.ReplaceAllStringFunc(template, func(section string) string {
		parts := sectionForm.FindStringSubmatch(section)
		if value := lookup(fields, parts[1]); value == nil || value == false {
			return ""
		}
		return parts[2]
	})
	return placeholderForm.ReplaceAllStringFunc(template, func(placeholder string) string {
		parts := placeholderForm.FindStringSubmatch(placeholder)
		value := lookup(fields, parts[1])
		if parts[2] != "" {
			text, _ := json.Marshal(value)
			return string(text)
		}
		return fmt.Sprint(value)
	})
}

// start starts a process with the command of the deploy file.
func (deployment *deployment) start(role, name string, fields map[string]any) *process {
	template, err := os.ReadFile(filepath.Join("deploy", role+".toml"))
	if err != nil {
		cannotRun("template: %v", err)
	}
	text := strings.ReplaceAll(string(template), "9464", strconv.Itoa(deployment.metricsPort))
	started := &process{name: name, role: role, settings: filepath.Join(deployment.folder, name+".toml")}
	if err := os.WriteFile(started.settings, []byte(render(text, fields)), 0o600); err != nil {
		cannotRun("settings: %v", err)
	}
	started.callers, _ = lookup(fields, "listen_addresses.frontend").(string)
	started.ready, _ = lookup(fields, "listen_addresses.ready").(string)
	deployment.processes = append(deployment.processes, started)
	started.run(deployment.folder)
	return started
}

// run starts the process.
func (process *process) run(folder string) {
	log, err := os.OpenFile(filepath.Join(folder, process.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun("log: %v", err)
	}
	defer func() { _ = log.Close() }()
	process.command = exec.Command("target/jacinthfront", process.role, "--settings", process.settings)
	process.command.Stdout, process.command.Stderr = log, log
	if err := process.command.Start(); err != nil {
		cannotRun("start of %s: %v", process.name, err)
	}
	note("platform: started %s, %s of the deploy file", process.name, process.role)
}

// kill kills the process.
func (process *process) kill() {
	note("platform: kills %s", process.name)
	_ = process.command.Process.Kill()
	_ = process.command.Wait()
}

// startRelay starts a relay at an IP address.
func (deployment *deployment) startRelay(name, ip string) *process {
	return deployment.start("relay", name, deployment.fields(name, "edge", ip, ""))
}

// startLoader starts the loader beside a runner.
func (deployment *deployment) startLoader(name, runner string) *process {
	ip, _, _ := net.SplitHostPort(runner)
	return deployment.start("loader", name, deployment.fields(name, "side", ip, runner))
}

// awaitReady waits until a relay says that it is ready.
func (process *process) awaitReady() {
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + process.ready + "/api/readyz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return
		}
	}
	cannotRun("%s is not ready", process.name)
}

// end kills all processes and removes the folder.
func (deployment *deployment) end() {
	for _, process := range deployment.processes {
		_ = process.command.Process.Signal(syscall.SIGCONT)
		_ = process.command.Process.Kill()
		_ = process.command.Wait()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(deployment.folder)
	}
}
