package roster

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"jacinthfront.dev/jacinthfront/internal/bench/infra"
)

// serve runs a function with a Roster over a handler in virtual time.
func serve(t *testing.T, handler http.Handler, run func(roster *Roster)) {
	t.Helper()
	loopback := infra.NewPipeNetwork()
	stop, err := loopback.Serve("platform:80", handler)
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	run(New(Config{URL: "http://platform:80", HTTP: loopback.Client()}))
}

// newPlatform returns a platform whose list shows changes after 500 ms.
func newPlatform(t *testing.T) *infra.Platform {
	t.Helper()
	platform, err := infra.New(infra.DefaultConfig())
	if err != nil {
		t.Fatal(err)
	}
	return platform
}

// side returns a live side process at an upstream.
func side(id, upstream string) infra.Instance {
	return infra.Instance{ID: id, Role: RoleSide, Upstream: upstream, Address: id + ":80"}
}

// TestLeavingIsSeen guards against an upstream that leaves and is seen to after
// more than 3 s, and against a list that is lost in an outage.
func TestLeavingIsSeen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := newPlatform(t)
		serve(t, platform, func(roster *Roster) {
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan error, 1)
			go func() { done <- roster.Run(ctx) }()
			leaving := side("s1", "u1")
			if err := platform.PutInstance(leaving); err != nil {
				t.Fatal(err)
			}
			time.Sleep(1600 * time.Millisecond)
			if instance, ok := roster.SideProcess("u1"); !ok || instance.Draining {
				t.Fatalf("side process %+v, %v; want a live one", instance, ok)
			}
			leaving.State = infra.StateDraining
			if err := platform.PutInstance(leaving); err != nil {
				t.Fatal(err)
			}
			time.Sleep(1600 * time.Millisecond)
			if err := platform.Control(infra.Control{List: &infra.Fault{Mode: infra.ModeDown, For: infra.Duration(time.Minute)}}); err != nil {
				t.Fatal(err)
			}
			time.Sleep(10 * time.Second)
			if instance, ok := roster.SideProcess("u1"); !ok || !instance.Draining {
				t.Errorf("side process %+v, %v during an outage; want the leaving one", instance, ok)
			}
			if age, ok := roster.Age(); !ok || age < 9*time.Second {
				t.Errorf("age %v, %v during an outage of 10 s", age, ok)
			}
			cancel()
			if err := <-done; err != nil {
				t.Errorf("Run ended with %v", err)
			}
		})
	})
}

// TestSide guards against work for the former side process of an upstream.
func TestSide(t *testing.T) {
	leaving := side("s3", "u1")
	leaving.State = infra.StateDraining
	tests := []struct {
		name      string
		instances []infra.Instance
		want      string
	}{
		{"none", []infra.Instance{side("s1", "u2")}, ""},
		{"entry instances do not count", []infra.Instance{{ID: "e", Role: RoleEntry, Upstream: "u1", Address: "e:80"}}, ""},
		{"the newest", []infra.Instance{side("s2", "u1"), side("s1", "u1")}, "s1"},
		{"one that stays", []infra.Instance{side("s1", "u1"), leaving}, "s1"},
		{"leaving only", []infra.Instance{leaving}, "s3"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				platform := newPlatform(t)
				serve(t, platform, func(roster *Roster) {
					for _, instance := range test.instances {
						if err := platform.PutInstance(instance); err != nil {
							t.Fatal(err)
						}
						time.Sleep(time.Second)
					}
					if err := roster.Poll(t.Context()); err != nil {
						t.Fatal(err)
					}
					if got, ok := roster.SideProcess("u1"); got.ID != test.want || ok != (test.want != "") {
						t.Errorf("side process %q, %v; want %q", got.ID, ok, test.want)
					}
				})
			})
		})
	}
}

// TestPartialAnswers compares a Roster that gets partial answers with one that
// gets a complete list each time, while instances come, go and return. It guards
// against lost and stuck changes.
func TestPartialAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := newPlatform(t)
		serve(t, platform, func(roster *Roster) {
			random := rand.New(rand.NewPCG(7, 7))
			for step := range 400 {
				instance := side(fmt.Sprintf("s%d", random.IntN(20)), fmt.Sprintf("u%d", random.IntN(10)))
				switch choice := random.IntN(100); {
				case choice < 50:
					instance.State = []string{infra.StateLive, infra.StateDraining}[random.IntN(2)]
					if err := platform.PutInstance(instance); err != nil {
						t.Fatal(err)
					}
				case choice < 90:
					platform.RemoveInstance(instance.ID)
				default:
					mode := []string{infra.ModeStale, infra.ModeShowRemoved, "none"}[random.IntN(3)]
					fault := &infra.Fault{Mode: mode, For: infra.Duration(time.Duration(random.IntN(3000)) * time.Millisecond)}
					if err := platform.Control(infra.Control{List: fault}); err != nil {
						t.Fatal(err)
					}
				}
				time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
				complete := New(roster.config)
				if err := roster.Poll(t.Context()); err != nil {
					t.Fatal(err)
				}
				if err := complete.Poll(t.Context()); err != nil {
					t.Fatal(err)
				}
				if diff := cmp.Diff(complete.Instances(), roster.Instances()); diff != "" {
					t.Fatalf("step %d (-complete +partial):\n%s", step, diff)
				}
			}
		})
	})
}

// TestPollFaults guards against an answer that empties the list or fills the
// memory.
func TestPollFaults(t *testing.T) {
	tests := []struct {
		name, answer string
		status       int
		want         string
	}{
		{"no revision", `{"instances":[]}`, 200, "revision"},
		{"not JSON", `<html>`, 200, "not valid"},
		{"too large", strings.Repeat(" ", maxList+1), 200, "more than"},
		{"status", `{}`, 503, "answered 503"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			handler := http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
				if request.URL.Query().Get("since") == "" {
					_, _ = fmt.Fprint(writer, `{"revision":"1","complete":true,"instances":[{"id":"s1"}]}`)
					return
				}
				writer.WriteHeader(test.status)
				_, _ = fmt.Fprint(writer, test.answer)
			})
			synctest.Test(t, func(t *testing.T) {
				serve(t, handler, func(roster *Roster) {
					if err := roster.Poll(t.Context()); err != nil {
						t.Fatal(err)
					}
					if err := roster.Poll(t.Context()); err == nil || !strings.Contains(err.Error(), test.want) {
						t.Errorf("error %v, want one with %q", err, test.want)
					}
					if len(roster.Instances()) != 1 {
						t.Errorf("instances %v, want the ones before", roster.Instances())
					}
				})
			})
		})
	}
}
