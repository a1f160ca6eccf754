// Package setup reads and checks the TOML settings files of jacinthfront's
// processes: entry instances, side processes, relays and loaders.
package setup

import (
	"bytes"
	"errors"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/BurntSushi/toml"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
)

// Listen holds the addresses that a process listens on, as IP:port.
type Listen struct {
	// Callers is the HTTP address for callers; only entry instances have it.
	Callers string `toml:"callers,omitempty"`
	// Peers is the drpc address for other processes.
	Peers string `toml:"peers"`
	// Operators is the HTTP address for operators and readiness probes.
	Operators string `toml:"operators"`
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	// LogURL is the address of the platform's log.
	LogURL string `toml:"log-url"`
	// InstancesURL is the address of the platform's instance list.
	InstancesURL string `toml:"instances-url"`
}

// TLS holds the paths of the PEM files for connections between processes. If all
// are empty, connections don't use TLS.
type TLS struct {
	CertFile string `toml:"cert-file,omitempty"`
	KeyFile  string `toml:"key-file,omitempty"`
	CAFile   string `toml:"ca-file,omitempty"`
}

// Enabled reports whether connections between processes use TLS.
func (tls TLS) Enabled() bool { return tls.CertFile != "" }

// Log configures the logger of a process.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `toml:"level"`
	// Format is json or text.
	Format string `toml:"format"`
}

// Shutdown configures a planned stop.
type Shutdown struct {
	// DrainLimit is the longest time that a stop waits for running requests.
	DrainLimit time.Duration `toml:"drain-limit"`
}

// Process holds the settings that entry instances and side processes share.
type Process struct {
	// Instance is the process's name in the instance list.
	Instance      string   `toml:"instance"`
	FailureDomain string   `toml:"failure-domain"`
	Listen        Listen   `toml:"listen"`
	Platform      Platform `toml:"platform"`
	TLS           TLS      `toml:"tls"`
	Log           Log      `toml:"log"`
	Shutdown      Shutdown `toml:"shutdown"`
	// IsolationLimit is the time without confirmation of the configuration, by the
	// log or a peer, after which requests that need a key are rejected.
	IsolationLimit time.Duration `toml:"isolation-limit"`
	// LogRetention is how long the platform keeps log records.
	LogRetention time.Duration `toml:"log-retention"`
}

const (
	defaultRequestLimit   = 5 * time.Minute
	defaultDrainLimit     = 6 * time.Minute
	defaultIsolationLimit = 30 * time.Second
	defaultLogRetention   = 7 * 24 * time.Hour
)

func defaultProcess() Process {
	return Process{
		Log:            Log{Level: "info", Format: "json"},
		Shutdown:       Shutdown{DrainLimit: defaultDrainLimit},
		IsolationLimit: defaultIsolationLimit,
		LogRetention:   defaultLogRetention,
	}
}

// load reads a TOML file into settings, which holds the defaults. An unknown key
// is an error.
func load(file string, settings any) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return fault.New(fault.Invalid, fault.NotRun, "cannot read the settings: %v; name an existing file with --settings", err)
	}
	return decode(file, text, settings)
}

func decode(file string, text []byte, settings any) error {
	meta, err := toml.NewDecoder(bytes.NewReader(text)).Decode(settings)
	var parse toml.ParseError
	if errors.As(err, &parse) {
		return fault.New(fault.Invalid, fault.NotRun, "%s line %d, key %q: %s; correct the TOML, durations have a unit, such as \"5s\"", file, parse.Position.Line, parse.LastKey, parse.Message)
	}
	if err != nil {
		return fault.New(fault.Invalid, fault.NotRun, "%s: %v; give the value in the type that docs/OPERATING.md names", file, err)
	}
	unknown := meta.Undecoded()
	if len(unknown) == 0 {
		return nil
	}
	names := make([]string, 0, len(unknown))
	for _, key := range unknown {
		names = append(names, key.String())
	}
	slices.Sort(names)
	return fault.New(fault.Invalid, fault.NotRun, "%s: unknown key %s; remove it or see docs/OPERATING.md for the keys", file, strings.Join(names, ", "))
}
