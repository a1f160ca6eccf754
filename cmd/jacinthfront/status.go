package main

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"jacinthfront.dev/jacinthfront/internal/daemon/admin"
)

// statusCommand prints the state of a running fleet.
type statusCommand struct{ operatorFlags }

// Execute implements flags.Commander.
func (command *statusCommand) Execute([]string) error {
	list, err := command.client().FleetStatus(context.Background())
	if err != nil {
		return err
	}
	lines := []string{"INSTANCE\tROLE\tSTATE\tVERSION\tCONFIRMED\tRUNNING\tQUEUED\tADAPTERS\tSHARDS\tFAULTS"}
	for _, status := range list {
		lines = append(lines, statusLine(status))
	}
	return command.print(list, lines)
}

// statusDetail is the part of the state reported by an instance that the table
// shows. Entry instances report readiness and counters, side processes the other
// fields.
type statusDetail struct {
	Ready    *bool                      `json:"ready"`
	Running  *int                       `json:"running"`
	Queued   *int                       `json:"queued"`
	Slots    int                        `json:"slots"`
	Draining bool                       `json:"draining"`
	Loaded   []string                   `json:"loaded"`
	Shards   []json.RawMessage          `json:"shards"`
	Counters map[string]json.RawMessage `json:"counters"`
}

func statusLine(status admin.InstanceStatus) string {
	var detail statusDetail
	if status.Error != "" {
		return fmt.Sprintf("%s\t%s\tno answer: %s", status.Instance, status.Role, status.Error)
	}
	if err := json.Unmarshal(status.Detail, &detail); err != nil && len(status.Detail) > 0 {
		return fmt.Sprintf("%s\t%s\tunreadable: %v", status.Instance, status.Role, err)
	}
	columns := []string{
		status.Instance, status.Role, detail.state(status.Draining), fmt.Sprint(status.Version), status.ConfirmedAge + " ago",
	}
	return strings.Join(append(columns, detail.columns()...), "\t")
}

func (detail statusDetail) state(draining bool) string {
	switch {
	case draining, detail.Draining:
		return "leaving"
	case detail.Ready != nil && !*detail.Ready:
		return "not ready"
	default:
		return "ready"
	}
}

// columns returns the columns running, queued, adapters, shards and faults. A
// dash stands for what the role does not have.
func (detail statusDetail) columns() []string {
	if detail.Running == nil || detail.Queued == nil {
		return []string{"-", "-", "-", "-", fmt.Sprint(detail.faults())}
	}
	return []string{
		fmt.Sprintf("%d/%d", *detail.Running, detail.Slots), fmt.Sprint(*detail.Queued),
		fmt.Sprint(len(detail.Loaded)), fmt.Sprint(len(detail.Shards)), "-",
	}
}

// faults returns how many requests an entry instance has answered with a fault.
func (detail statusDetail) faults() int64 {
	var sum int64
	for name, text := range detail.Counters {
		var count int64
		if strings.HasPrefix(name, "fault-") && json.Unmarshal(text, &count) == nil {
			sum += count
		}
	}
	return sum
}
