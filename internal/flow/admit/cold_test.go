package admit

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"
)

// coldEntry is an entry instance whose requests wait for one engine.
type coldEntry struct {
	name    string
	next    uint64
	waiting []Request
	// queued holds the grants that the instance has not processed yet.
	queued []coldMessage
}

// coldMessage is a loader's report.
type coldMessage struct {
	granted    []uint64
	answeredAt time.Time
}

// process uses the grants that may still be used, and returns their number.
func (entry *coldEntry) process() (sent int) {
	for _, message := range entry.queued {
		for _, id := range message.granted {
			before := len(entry.waiting)
			if time.Since(message.answeredAt) < GrantLifetime {
				entry.waiting = slices.DeleteFunc(entry.waiting, func(request Request) bool { return request.ID == id })
			}
			sent += before - len(entry.waiting)
		}
	}
	entry.queued = nil
	return sent
}

// mostInSecond returns the most arrivals in any window of one second.
func mostInSecond(arrivals []time.Time) (most int) {
	first := 0
	for last, at := range arrivals {
		for at.Sub(arrivals[first]) >= time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// TestColdLimit guards against an engine that gets more requests within a second than it
// tolerates while cold, which makes it crash, and against one that gets far fewer.
func TestColdLimit(t *testing.T) {
	always := func(time.Duration) bool { return true }
	within := func(from, to time.Duration) func(time.Duration) bool {
		return func(since time.Duration) bool { return since >= from && since < to }
	}
	never := within(0, 0)
	tests := []struct {
		name string
		// cold tells when the entry instances say that the engine is cold.
		cold func(since time.Duration) bool
		// stopped tells when the first half of the instances is stopped, and unheard when
		// they do not hear the loader although it hears them.
		stopped, unheard func(since time.Duration) bool
		loss             float64
		restart          time.Duration
		least, most      int
	}{
		{name: "turns cold unheard", cold: never, stopped: never, unheard: never, least: 140, most: 17},
		{name: "known to be cold", cold: always, stopped: never, unheard: never, least: 90, most: 13},
		{name: "turns cold", cold: within(4*time.Second, 8*time.Second), stopped: never, unheard: never, least: 100, most: 17},
		{name: "instances wake with old grants", cold: never, stopped: within(4*time.Second, 6*time.Second), unheard: never, least: 100, most: 17},
		{name: "instances wake soon", cold: never, stopped: within(4*time.Second, 4300*time.Millisecond), unheard: never, least: 100, most: 17},
		{name: "loader unheard for a time", cold: never, stopped: never, unheard: within(4*time.Second, 7*time.Second), least: 80, most: 17},
		{name: "datagrams lost", cold: never, stopped: never, unheard: never, loss: 0.3, least: 50, most: 17},
		{name: "loader restarts", cold: never, stopped: never, unheard: never, restart: 5 * time.Second, least: 100, most: 17},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				random, start := rand.New(rand.NewPCG(1, 1)), time.Now()
				controller := newController()
				entries := make([]*coldEntry, 6)
				for number := range entries {
					entries[number] = &coldEntry{name: strconv.Itoa(number)}
				}
				var arrivals []time.Time
				for since := time.Duration(0); since < 12*time.Second; since = time.Since(start) {
					if test.restart > 0 && since == test.restart {
						controller = newController()
					}
					for number, entry := range entries {
						affected := number < len(entries)/2
						if affected && test.stopped(since) {
							continue
						}
						for range entry.process() {
							arrivals = append(arrivals, time.Now())
						}
						for len(entry.waiting) < 30 {
							entry.next++
							entry.waiting = append(entry.waiting, Request{ID: entry.next})
						}
						limit := ColdLimit{PerSecond: 17, Rate: 11, SentAt: uint64(since.Microseconds()) + 1}
						if test.cold(since) {
							limit.Remaining = time.Second
						}
						if random.Float64() >= test.loss {
							controller.SetRequests(entry.name, EngineConfig{EventTokens: 1, Cold: limit}, entry.waiting)
						}
					}
					granted, _ := controller.Grant()
					for number, entry := range entries {
						answeredAt := start.Add(time.Duration(controller.Answered(entry.name)-1) * time.Microsecond)
						if lost := number < len(entries)/2 && test.unheard(since) || random.Float64() < test.loss; !lost {
							entry.queued = append(entry.queued, coldMessage{granted[entry.name], answeredAt})
						}
					}
					time.Sleep(10 * time.Millisecond)
				}
				if most := mostInSecond(arrivals); most > test.most || len(arrivals) < test.least {
					t.Errorf("%d requests in one second, want at most %d; %d in all, want at least %d", most, test.most, len(arrivals), test.least)
				}
			})
		})
	}
}

// TestNoColdLimit guards against a limit on engines whose service has no cold rate.
func TestNoColdLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		controller := newController()
		controller.SetRequests("entry", EngineConfig{EventTokens: 1}, requests(slices.Repeat([]int64{1}, 100)...))
		if granted, _ := controller.Grant(); len(granted["entry"]) != 100 || controller.Answered("entry") != 0 {
			t.Errorf("%d of 100 requests admitted, answered %d", len(granted["entry"]), controller.Answered("entry"))
		}
	})
}

// TestRequestsAfterStepBack guards against the requests of an entry instance that has started
// again and are ignored as older ones, because its clock had stepped back.
func TestRequestsAfterStepBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		controller := newController()
		time.Sleep(2 * time.Second)
		controller.SetRequests("entry", EngineConfig{Cold: ColdLimit{PerSecond: 3, SentAt: 20, Process: 1}}, nil)
		controller.SetRequests("entry", EngineConfig{Cold: ColdLimit{PerSecond: 3, SentAt: 10, Process: 2}}, requests(1))
		if granted, _ := controller.Grant(); len(granted["entry"]) != 1 || controller.Answered("entry") != 10 {
			t.Errorf("granted %v, answered %d; want one grant in answer to 10", granted, controller.Answered("entry"))
		}
	})
}

// TestStaleRequests guards against a demand that arrives late, replaces a newer one, and so
// withdraws a request that still waits, whose grant then no longer counts.
func TestStaleRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		controller := newController()
		time.Sleep(2 * time.Second)
		controller.SetRequests("entry", EngineConfig{Cold: ColdLimit{PerSecond: 3, SentAt: 20}}, requests(1))
		controller.SetRequests("entry", EngineConfig{Cold: ColdLimit{PerSecond: 3, SentAt: 10}}, nil)
		if granted, _ := controller.Grant(); len(granted["entry"]) != 1 || controller.Answered("entry") != 20 {
			t.Errorf("granted %v, answered %d; want one grant in answer to 20", granted, controller.Answered("entry"))
		}
	})
}
