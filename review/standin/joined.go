//go:build review

package main

import (
	"bufio"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// lineLength is the length of the data line of each event without its end.
	lineLength = 4096
	// brokenEvent is the event within which a runner stops.
	brokenEvent = 6
	// joinedStreams is the number of streams that are sent.
	joinedStreams = 10
	// retryWindow is budget_window_s.
	retryWindow = 10 * time.Second
)

// eventText returns the text of an event, which makes its line lineLength long.
func eventText(number int) string {
	return strings.Repeat(string(rune('a'+number)), lineLength-len("data: "))
}

// streamLong answers with events of one long line each. With trouble, a run that does not
// resume a stream stops within an event: its line has left, the empty line has not.
func streamLong(trouble bool) func(*runner, http.ResponseWriter, *http.Request) bool {
	return func(runner *runner, writer http.ResponseWriter, request *http.Request) bool {
		header, id := writer.Header(), request.Header.Get("X-Jacinthfront-Attempt-Id")
		header.Set("X-Jacinthfront-Attempt-Id", id)
		header.Set("X-Jacinthfront-Server-Seal", "seal."+runner.id+"."+id)
		header.Set("Content-Type", "text/event-stream")
		control := http.NewResponseController(writer)
		last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
		record("%s runs %s from event %d", runner.id, id, last+1)
		for number := last + 1; number <= streamEvents; number++ {
			_, _ = fmt.Fprintf(writer, "id: %d\ndata: %s\n", number, eventText(number))
			_ = control.Flush()
			time.Sleep(2 * time.Millisecond)
			if trouble && last == 0 && number == brokenEvent {
				record("%s stops within event %d of %s", runner.id, number, id)
				panic(http.ErrAbortHandler)
			}
			_, _ = fmt.Fprint(writer, "\n")
			_ = control.Flush()
			time.Sleep(eventGap)
		}
		return false
	}
}

// joinedEvents reads streams of runners that stop within an event.
func joinedEvents(trouble bool) bool {
	deployment := newDeployment()
	running = deployment
	runners := deployment.startEngines(true, streamLong(trouble))
	// A relay that has just started retries nothing for the length of the retry window.
	time.Sleep(retryWindow + time.Second)
	broken, whole := 0, 0
	for number := range joinedStreams {
		fault, complete := deployment.readStream(number)
		if fault != "" {
			broken++
		}
		if fault == "" && complete {
			whole++
		}
		time.Sleep(500 * time.Millisecond)
	}
	dumpAttempts(runners)
	record("streams: %d, of which %d came whole, and %d with pieces joined or missing", joinedStreams, whole, broken)
	require(broken+whole > 0, "no stream came to its end")
	return broken > 0
}

// readStream sends a request for a stream and reads its events as a client does: an event
// ends at an empty line. It returns what is wrong with the events, if anything is, and
// whether the stream ended as complete.
func (deployment *deployment) readStream(number int) (fault string, complete bool) {
	relay := deployment.relays[number%len(deployment.relays)]
	request, err := http.NewRequest(http.MethodPost, "http://"+relay.callers+fmt.Sprintf("/stream/%d", number), strings.NewReader("body"))
	check(err)
	id := fmt.Sprintf("s%04x", number)
	request.Host = host
	for name, value := range map[string]string{
		"X-Jacinthfront-Attempt-Id": id, "X-Jacinthfront-Deadline-Ms": "8000", "X-Api-Key": "key-1",
		"X-Jacinthfront-Model": fmt.Sprintf("%s/a%d", modelName, number%6+1), "X-Jacinthfront-Token-Usage": "300,36",
		"X-Jacinthfront-Prompt-Prefix": fmt.Sprintf("5c1e07a2:150,e4%06x:50", number),
	} {
		request.Header.Set(name, value)
	}
	record("request %s is sent to %s", id, relay.name)
	client := http.Client{Transport: &http.Transport{}, Timeout: 8 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		record("request %s has no answer: %v", id, err)
		return "", false
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		record("request %s is answered with %d", id, response.StatusCode)
		return "", false
	}
	scanner := bufio.NewScanner(response.Body)
	scanner.Buffer(nil, 1<<20)
	var lines []string
	want := 1
	for scanner.Scan() {
		if scanner.Text() != "" {
			lines = append(lines, scanner.Text())
			continue
		}
		expected := []string{fmt.Sprintf("id: %d", want), "data: " + eventText(want)}
		if fault == "" && strings.Join(lines, "\n") != strings.Join(expected, "\n") {
			fault = fmt.Sprintf("where event %d is due comes an event of %d lines: %s", want, len(lines), shorten(lines))
		}
		want, lines = want+1, nil
	}
	complete = scanner.Err() == nil
	if fault == "" && complete && want != streamEvents+1 {
		fault = fmt.Sprintf("the stream ends as complete after event %d", want-1)
	}
	record("request %s: status 200, %d events, ended as complete: %v; fault: %s", id, want-1, complete, fault)
	return fault, complete
}

// shorten returns the beginning of each line.
func shorten(lines []string) string {
	short := make([]string, 0, len(lines))
	for _, line := range lines {
		short = append(short, strconv.Quote(line[:min(len(line), 12)]))
	}
	return strings.Join(short, " ")
}
