package setup

import (
	"fmt"
	"net/netip"
	"net/url"
	"slices"
	"strings"
	"time"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
)

// checks collects the problems of a settings file.
type checks struct {
	file     string
	problems []string
}

// checks returns the problems of the settings that entry instances and side
// processes share.
func (process Process) checks(file string) *checks {
	checks := &checks{file: file}
	checks.notEmpty("instance", process.Instance)
	checks.notEmpty("failure-domain", process.FailureDomain)
	checks.address("listen.peers", process.Listen.Peers)
	checks.address("listen.operators", process.Listen.Operators)
	checks.url("platform.log-url", process.Platform.LogURL)
	checks.url("platform.instances-url", process.Platform.InstancesURL)
	checks.log(process.Log)
	checks.positive("shutdown.drain-limit", process.Shutdown.DrainLimit)
	checks.positive("isolation-limit", process.IsolationLimit)
	checks.positive("log-retention", process.LogRetention)
	if process.TLS.CertFile == "" && (process.TLS.KeyFile != "" || process.TLS.CAFile != "") {
		checks.add("tls.cert-file", "", "write the certificate's file, or remove the table tls")
	}
	if process.TLS.Enabled() {
		checks.notEmpty("tls.key-file", process.TLS.KeyFile)
		checks.notEmpty("tls.ca-file", process.TLS.CAFile)
	}
	return checks
}

func (checks *checks) add(key, given, remedy string) {
	checks.problems = append(checks.problems, fmt.Sprintf("%s is %q; %s", key, given, remedy))
}

func (checks *checks) notEmpty(key, value string) {
	if value == "" {
		checks.add(key, value, "write a value that is not empty")
	}
}

func (checks *checks) address(key, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		checks.add(key, value, "write IP:port, such as 127.0.0.1:8080")
	}
}

func (checks *checks) url(key, value string) {
	parsed, err := url.Parse(value)
	if err != nil || parsed.Scheme != "http" && parsed.Scheme != "https" || parsed.Host == "" {
		checks.add(key, value, "write an http or https URL, such as http://127.0.0.1:7000")
	}
}

func (checks *checks) oneOf(key, value string, choices ...string) {
	if !slices.Contains(choices, value) {
		checks.add(key, value, "write "+strings.Join(choices, " or "))
	}
}

func (checks *checks) log(log Log) {
	checks.oneOf("log.level", log.Level, "debug", "info", "warn", "error")
	checks.oneOf("log.format", log.Format, "json", "text")
}

func (checks *checks) positive(key string, value time.Duration) {
	if value <= 0 {
		checks.add(key, value.String(), "write a duration above 0, such as \"5s\"")
	}
}

func (checks *checks) notNegative(key string, value Number) {
	if value < 0 {
		checks.add(key, fmt.Sprint(value), "write a number of at least 0")
	}
}

func (checks *checks) between(key string, value, least, most Number) {
	if value < least || value > most {
		checks.add(key, fmt.Sprint(value), fmt.Sprintf("write a number between %v and %v", least, most))
	}
}

func (checks *checks) atLeast(key string, value, least int64) {
	if value < least {
		checks.add(key, fmt.Sprint(value), fmt.Sprintf("write a whole number of at least %d", least))
	}
}

func (checks *checks) longerThan(key string, value time.Duration, otherKey string, other time.Duration) {
	if value <= other {
		checks.add(key, value.String(), fmt.Sprintf("write more than %s, which is %s", otherKey, other))
	}
}

func (checks *checks) err() error {
	if len(checks.problems) == 0 {
		return nil
	}
	return fault.New(fault.Invalid, fault.NotRun, "%s: %s", checks.file, strings.Join(checks.problems, "; "))
}
