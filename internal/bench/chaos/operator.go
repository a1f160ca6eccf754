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
	maxPublishAttempts = 12
	retryDelay         = 300 * time.Millisecond
	maxAppendAttempts  = 5
	appendTimeout      = time.Second
)

// readVersion returns the configuration version of the first running process,
// searched from an index on, or 0 if no process runs.
func (deployment *deployment) readVersion(first int) uint64 {
	processes := deployment.processes()
	for offset := range processes {
		if running := processes[(first+offset)%len(processes)].current(); running != nil {
			return running.ConfigVersion()
		}
	}
	return 0
}

// publish appends a patch based on the version that an operator reads at a
// process. If the patch conflicts, publish tries again with a new id and base.
func (deployment *deployment) publish(ctx context.Context, operator string, ops ...patch.Op) {
	for attempt := range maxPublishAttempts {
		base := deployment.readVersion(attempt)
		id := fmt.Sprintf("%s-%d", operator, attempt)
		deployment.appendPatch(ctx, patch.Patch{ID: id, BaseVersion: base, Operator: operator, Force: true, Ops: ops})
		if deployment.accepted(id) {
			deployment.recordEvent("patch %s accepted on base %d", id, base)
			return
		}
		if sleep(ctx, retryDelay) != nil {
			return
		}
	}
	deployment.recordEvent("patch %s not accepted", operator)
}

// accepted reports whether a patch is accepted by the reference replay.
func (deployment *deployment) accepted(id string) bool {
	for _, version := range referenceReplay(deployment.platform.Records(configStream)) {
		if version.patch.ID == id {
			return true
		}
	}
	return false
}

// appendPatch appends a patch. If no response arrives, it appends the patch again
// with the same id.
func (deployment *deployment) appendPatch(ctx context.Context, record patch.Patch) {
	data, err := codec.EncodePatch(record)
	if err != nil {
		return
	}
	url := "http://" + deployment.address(platformName, servicePort) + "/v1/streams/" + configStream + "/records"
	for range maxAppendAttempts {
		if deployment.post(ctx, url, data) == nil || sleep(ctx, retryDelay) != nil {
			return
		}
	}
}

func (deployment *deployment) post(ctx context.Context, url string, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return err
	}
	response, err := deployment.operator.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if response.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("the log service responded %s", response.Status)
	}
	return nil
}

// configSample is the configuration in force at a process at some time.
type configSample struct {
	at               time.Time
	process          string
	started          time.Time
	version          uint64
	contendedMaxWait time.Duration
}

const sampleInterval = 100 * time.Millisecond

// sampleConfigs samples the configuration of all processes until ctx ends.
func (deployment *deployment) sampleConfigs(ctx context.Context) {
	for sleep(ctx, sampleInterval) == nil {
		for _, process := range deployment.processes() {
			process.mutex.Lock()
			running, started := process.running, process.started
			process.mutex.Unlock()
			if running == nil {
				continue
			}
			config := running.Config()
			sample := configSample{at: time.Now(), process: process.name, started: started, version: config.Version()}
			if route, ok := config.Route(contendedRoute); ok {
				sample.contendedMaxWait = route.MaxWait
			}
			deployment.mutex.Lock()
			deployment.samples = append(deployment.samples, sample)
			deployment.mutex.Unlock()
		}
	}
}
