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

// serve calls run with a Roster that polls a handler, in virtual time.
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

// newPlatform returns a platform whose instance list shows changes after 500 ms.
func newPlatform(t *testing.T) *infra.Platform {
	t.Helper()
	platform, err := infra.New(infra.DefaultConfig())
	if err != nil {
		t.Fatal(err)
	}
	return platform
}

// side returns a side process of an upstream that is not draining.
func side(id, upstream string) infra.Instance {
	return infra.Instance{ID: id, Role: RoleSide, Upstream: upstream, Address: id + ":80"}
}

// TestDrainingIsSeen guards against a draining upstream that is seen only after
// more than 3 s, and against losing the list in an outage.
func TestDrainingIsSeen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := newPlatform(t)
		serve(t, platform, func(roster *Roster) {
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan error, 1)
			go func() { done <- roster.Run(ctx) }()
			draining := side("s1", "u1")
			if err := platform.PutInstance(draining); err != nil {
				t.Fatal(err)
			}
			time.Sleep(1600 * time.Millisecond)
			if instance, ok := roster.SideProcess("u1"); !ok || instance.Draining {
				t.Fatalf("side process %+v, %v; want one that is not draining", instance, ok)
			}
			draining.State = infra.StateDraining
			if err := platform.PutInstance(draining); err != nil {
				t.Fatal(err)
			}
			time.Sleep(1600 * time.Millisecond)
			if err := platform.Control(infra.Control{List: &infra.Fault{Mode: infra.ModeDown, For: infra.Duration(time.Minute)}}); err != nil {
				t.Fatal(err)
			}
			time.Sleep(10 * time.Second)
			if instance, ok := roster.SideProcess("u1"); !ok || !instance.Draining {
				t.Errorf("side process %+v, %v during an outage; want the draining one", instance, ok)
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

// TestSide guards against sending requests to a former side process of an
// upstream.
func TestSide(t *testing.T) {
	draining := side("s3", "u1")
	draining.State = infra.StateDraining
	tests := []struct {
		name      string
		instances []infra.Instance
		want      string
	}{
		{"none", []infra.Instance{side("s1", "u2")}, ""},
		{"entry instances do not count", []infra.Instance{{ID: "e", Role: RoleEntry, Upstream: "u1", Address: "e:80"}}, ""},
		{"the newest", []infra.Instance{side("s2", "u1"), side("s1", "u1")}, "s1"},
		{"one that is not draining", []infra.Instance{side("s1", "u1"), draining}, "s1"},
		{"draining only", []infra.Instance{draining}, "s3"},
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

// TestPartialAnswers compares a Roster that receives partial lists with one that
// receives a complete list each time, while instances are added, removed and
// added again. It guards against lost and stale changes.
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

// TestPollFaults guards against a response that empties the list or exhausts the
// memory.
func TestPollFaults(t *testing.T) {
	tests := []struct {
		name, response string
		status         int
		want           string
	}{
		{"no revision", `{"instances":[]}`, 200, "revision"},
		{"not JSON", `<html>`, 200, "not valid"},
		{"too large", strings.Repeat(" ", maxResponseSize+1), 200, "more than"},
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
				_, _ = fmt.Fprint(writer, test.response)
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
