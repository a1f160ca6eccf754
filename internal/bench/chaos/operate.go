package chaos

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"jacinthfront.dev/jacinthfront/internal/state/patch"
	"jacinthfront.dev/jacinthfront/internal/wire/codec"
)

const (
	publishTries = 12
	publishPause = 300 * time.Millisecond
	appendTries  = 5
	appendTime   = time.Second
)

// version returns the version that an operator reads at some process.
func (world *world) version(pick int) uint64 {
	processes := world.processes()
	for offset := range processes {
		if running := processes[(pick+offset)%len(processes)].current(); running != nil {
			return running.ConfigVersion()
		}
	}
	return 0
}

// publish appends a patch on the version that an operator sees, and again with
// a new id when it has conflicted.
func (world *world) publish(ctx context.Context, operator string, ops ...patch.Op) {
	for try := range publishTries {
		base := world.version(try)
		id := fmt.Sprintf("%s-%d", operator, try)
		world.appendPatch(ctx, patch.Patch{ID: id, BaseVersion: base, Operator: operator, Force: true, Ops: ops})
		if world.accepted(id) {
			world.note("patch %s accepted on base %d", id, base)
			return
		}
		if pause(ctx, publishPause) != nil {
			return
		}
	}
	world.note("patch %s not accepted", operator)
}

// accepted reports whether a patch has been accepted, by the naive fold.
func (world *world) accepted(id string) bool {
	for _, version := range foldNaively(world.platform.Records(configStream)) {
		if version.patch.ID == id {
			return true
		}
	}
	return false
}

// appendPatch appends a patch, and again with the same id when no answer came.
func (world *world) appendPatch(ctx context.Context, record patch.Patch) {
	data, err := codec.EncodePatch(record)
	if err != nil {
		return
	}
	url := "http://" + world.address(platformName, servicePort) + "/v1/streams/" + configStream + "/records"
	for range appendTries {
		if world.post(ctx, url, data) == nil || pause(ctx, publishPause) != nil {
			return
		}
	}
}

func (world *world) post(ctx context.Context, url string, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, appendTime)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return err
	}
	response, err := world.operator.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if response.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("the log answered %s", response.Status)
	}
	return nil
}

// sample is the configuration that was in force at a process.
type sample struct {
	at       time.Time
	process  string
	started  time.Time
	version  uint64
	raceWait time.Duration
}

const samplePause = 100 * time.Millisecond

// observe samples the configuration of all processes until ctx ends.
func (world *world) observe(ctx context.Context) {
	for pause(ctx, samplePause) == nil {
		for _, process := range world.processes() {
			process.mutex.Lock()
			running, started := process.running, process.started
			process.mutex.Unlock()
			if running == nil {
				continue
			}
			config := running.Config()
			taken := sample{at: time.Now(), process: process.name, started: started, version: config.Version()}
			if route, ok := config.Route(raceRoute); ok {
				taken.raceWait = route.MaxWait
			}
			world.mutex.Lock()
			world.samples = append(world.samples, taken)
			world.mutex.Unlock()
		}
	}
}
