package fairq

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
	"jacinthfront.dev/jacinthfront/internal/state/conf"
)

var start = time.Unix(1000, 0)

// referenceQueue is deficit round robin over one list, without indexes or sums.
type referenceQueue struct {
	quantum conf.Tokens
	ring    []string
	cursor  int
	deficit map[string]conf.Tokens
	blocked map[string]time.Time
	waiting []*Entry[int]
}

func (reference *referenceQueue) push(entry *Entry[int]) {
	if !slices.Contains(reference.ring, entry.Organisation) {
		reference.ring = append(reference.ring, entry.Organisation)
	}
	reference.waiting = append(reference.waiting, entry)
}

func (reference *referenceQueue) remove(entry *Entry[int]) {
	reference.waiting = slices.DeleteFunc(reference.waiting, func(other *Entry[int]) bool { return other == entry })
	idle := !slices.ContainsFunc(reference.waiting, func(other *Entry[int]) bool { return other.Organisation == entry.Organisation })
	if idle && reference.deficit[entry.Organisation] > 0 {
		reference.deficit[entry.Organisation] = 0
	}
}

func (reference *referenceQueue) pop(now time.Time, ready func(*Entry[int]) bool) *Entry[int] {
	for _, highPriority := range []bool{true, false} {
		first := map[string]*Entry[int]{}
		for _, entry := range reference.waiting {
			name := entry.Organisation
			if first[name] == nil && !reference.blocked[name].After(now) && (!highPriority || entry.HighPriority(now)) && ready(entry) {
				first[name] = entry
			}
		}
		for len(first) > 0 {
			name := reference.ring[reference.cursor]
			if entry := first[name]; entry != nil && reference.deficit[name] >= entry.Cost {
				reference.deficit[name] -= entry.Cost
				reference.remove(entry)
				return entry
			}
			reference.cursor = (reference.cursor + 1) % len(reference.ring)
			if name := reference.ring[reference.cursor]; first[name] != nil {
				reference.deficit[name] += reference.quantum
			}
		}
	}
	return nil
}

// Guards against an order that differs from plain deficit round robin after any
// sequence of pushes, pops, removals, requeues, charges and blocks.
func TestQueueAgainstNaive(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 1))
		queue := New[int](Config{Quantum: 100})
		reference := &referenceQueue{quantum: 100, deficit: map[string]conf.Tokens{}, blocked: map[string]time.Time{}}
		now := start
		var popped []*Entry[int]
		for step := range 300 {
			now = now.Add(time.Duration(random.IntN(200)) * time.Millisecond)
			name := fmt.Sprint("organisation-", random.IntN(5))
			switch action := random.IntN(20); {
			case action < 9:
				entry := &Entry[int]{
					Organisation: name, Class: conf.Class(random.IntN(2)), Cost: conf.Tokens(1 + random.IntN(500)),
					Arrived: now, MaxWait: time.Duration(1+random.IntN(5)) * time.Second, Value: random.IntN(4),
				}
				queue.Push(entry)
				reference.push(entry)
			case action < 16:
				loading := random.IntN(4)
				ready := func(entry *Entry[int]) bool { return entry.Value != loading }
				got, want := queue.Pop(now, ready), reference.pop(now, ready)
				if got != want {
					t.Fatalf("seed %d step %d: popped %+v, want %+v", seed, step, got, want)
				}
				if got != nil {
					popped = append(popped, got)
				}
			case action == 16 && queue.organisations[name] != nil:
				queue.Charge(name, AdapterLoadCost)
				reference.deficit[name] -= AdapterLoadCost
			case action == 17 && queue.organisations[name] != nil:
				queue.Block(name, now.Add(time.Second))
				reference.blocked[name] = now.Add(time.Second)
			case action == 18 && len(reference.waiting) > 0:
				entry := reference.waiting[random.IntN(len(reference.waiting))]
				reference.remove(entry)
				queue.Remove(entry)
			case action == 19 && len(popped) > 0:
				entry := popped[len(popped)-1]
				popped = popped[:len(popped)-1]
				queue.Requeue(entry)
				reference.waiting = append(reference.waiting, entry)
				slices.SortFunc(reference.waiting, bySequence)
				reference.deficit[entry.Organisation] += entry.Cost
			}
			var tokens conf.Tokens
			for _, entry := range reference.waiting {
				tokens += entry.Cost
			}
			if queue.Len() != len(reference.waiting) || queue.Tokens() != tokens {
				t.Fatalf("seed %d step %d: %d requests of %d tokens, want %d of %d",
					seed, step, queue.Len(), queue.Tokens(), len(reference.waiting), tokens)
			}
		}
	}
}

func always(*Entry[string]) bool { return true }

// drain pops everything and returns the values in order.
func drain(queue *Queue[string], now time.Time) (values []string) {
	for entry := queue.Pop(now, always); entry != nil; entry = queue.Pop(now, always) {
		values = append(values, entry.Value)
	}
	return values
}

// Guards against patient requests that pass interactive ones too early, or that
// still wait behind them after half their maximum wait.
func TestClasses(t *testing.T) {
	tests := []struct {
		name   string
		waited time.Duration
		want   []string
	}{
		{"fresh", 0, []string{"interactive", "patient"}},
		{"just below half", 5*time.Second - 1, []string{"interactive", "patient"}},
		{"half", 5 * time.Second, []string{"patient", "interactive"}},
	}
	for _, test := range tests {
		queue := New[string](Config{})
		queue.Push(&Entry[string]{Organisation: "oak", Class: conf.Patient, Cost: 10, Arrived: start, MaxWait: 10 * time.Second, Value: "patient"})
		now := start.Add(test.waited)
		queue.Push(&Entry[string]{Organisation: "oak", Cost: 10, Arrived: now, MaxWait: time.Second, Value: "interactive"})
		if diff := cmp.Diff(test.want, drain(queue, now)); diff != "" {
			t.Errorf("%s (-want +got):\n%s", test.name, diff)
		}
	}
}

// Guards against an organisation that is served less than its equal part of the
// tokens while it has requests waiting, whatever their size.
func TestFairShares(t *testing.T) {
	queue := New[string](Config{Quantum: 500})
	served := map[string]conf.Tokens{}
	for name, cost := range map[string]conf.Tokens{"small": 40, "middle": 300, "large": 2500} {
		for range 30000 / cost {
			queue.Push(&Entry[string]{Organisation: name, Cost: cost, Arrived: start, MaxWait: time.Hour})
		}
	}
	for most := conf.Tokens(0); most < 25000; {
		entry := queue.Pop(start, always)
		served[entry.Organisation] += entry.Cost
		most = max(most, served[entry.Organisation])
	}
	for name, tokens := range served {
		if tokens < 25000-2500-2*500 {
			t.Errorf("%s was served %d tokens", name, tokens)
		}
	}
}

// Guards against wrongful refusals and against a queue without limits.
func TestAdmit(t *testing.T) {
	fill := func(queue *Queue[string], name string, class conf.Class, count int, cost conf.Tokens) {
		for range count {
			queue.Push(&Entry[string]{Organisation: name, Class: class, Cost: cost, Arrived: start, MaxWait: 10 * time.Second})
		}
	}
	// saturate makes the queue measure a throughput of 100 tokens/s.
	saturate := func(queue *Queue[string]) {
		queue.SetSaturated(start.Add(-10*time.Second), true)
		for second := -10; second < 0; second++ {
			queue.throughput.recordStart(start.Add(time.Duration(second)*time.Second), 100)
		}
	}
	limit := RateLimit{Rate: 100, Burst: 500}
	tests := []struct {
		name    string
		prepare func(queue *Queue[string])
		class   conf.Class
		limit   RateLimit
		cost    conf.Tokens
		want    fault.Kind
	}{
		{"empty", func(*Queue[string]) {}, 0, limit, 100, ""},
		{"above the burst", func(*Queue[string]) {}, 0, limit, 501, fault.RateExceeded},
		{"rate suffices with the burst", func(queue *Queue[string]) { fill(queue, "oak", 0, 14, 100) }, 0, limit, 100, ""},
		{"rate does not suffice", func(queue *Queue[string]) { fill(queue, "oak", 0, 15, 100) }, 0, limit, 100, fault.RateExceeded},
		{"rate suffices without the burst", func(queue *Queue[string]) {
			fill(queue, "oak", 0, 9, 100)
			queue.Block("oak", start.Add(time.Second))
		}, 0, limit, 100, ""},
		{"rate does not suffice without the burst", func(queue *Queue[string]) {
			fill(queue, "oak", 0, 10, 100)
			queue.Block("oak", start.Add(time.Second))
		}, 0, limit, 100, fault.RateExceeded},
		{"the limiter estimates a longer wait", func(queue *Queue[string]) { fill(queue, "oak", 0, 10, 100) }, 0,
			RateLimit{Rate: 100, Burst: 5000, EstimateWait: func(conf.Tokens) time.Duration { return 11 * time.Second }}, 100, fault.RateExceeded},
		{"other organisation's tokens", func(queue *Queue[string]) { fill(queue, "ash", 0, 50, 100) }, 0, limit, 100, ""},
		{"below the bound", func(queue *Queue[string]) { fill(queue, "oak", 0, 99, 1) }, 0, RateLimit{}, 1, ""},
		{"at the bound", func(queue *Queue[string]) { fill(queue, "oak", 0, 100, 1) }, 0, RateLimit{}, 1, fault.Overloaded},
		{"patient at its bound", func(queue *Queue[string]) { fill(queue, "oak", 0, 75, 1) }, conf.Patient, RateLimit{}, 1, fault.Overloaded},
		{"interactive beyond the patient bound", func(queue *Queue[string]) { fill(queue, "oak", 0, 75, 1) }, 0, RateLimit{}, 1, ""},
		{"full of another organisation's requests", func(queue *Queue[string]) { fill(queue, "ash", 0, 150, 1) }, 0, RateLimit{}, 1, ""},
		{"full of rate-limited requests", func(queue *Queue[string]) {
			fill(queue, "ash", 0, 200, 1)
			fill(queue, "oak", 0, 99, 1)
			queue.Block("ash", start.Add(time.Second))
		}, 0, RateLimit{}, 1, ""},
		{"at the hard bound", func(queue *Queue[string]) {
			fill(queue, "ash", 0, 400, 1)
			queue.Block("ash", start.Add(time.Second))
		}, 0, RateLimit{}, 1, fault.Overloaded},
		{"too many tokens", func(queue *Queue[string]) { fill(queue, "oak", 0, 9, 1000) }, 0, RateLimit{}, 1001, fault.Overloaded},
		{"expected wait within the maximum", func(queue *Queue[string]) { saturate(queue); fill(queue, "oak", 0, 9, 100) }, 0, RateLimit{}, 100, ""},
		{"expected wait too long", func(queue *Queue[string]) { saturate(queue); fill(queue, "oak", 0, 11, 100) }, 0, RateLimit{}, 100, fault.Overloaded},
		{"patient requests do not delay interactive ones", func(queue *Queue[string]) { saturate(queue); fill(queue, "oak", conf.Patient, 11, 100) }, 0, RateLimit{}, 100, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			queue := New[string](Config{MaxRequests: 100, MaxTokens: 10000, Quantum: 100})
			test.prepare(queue)
			entry := &Entry[string]{Organisation: "oak", Class: test.class, Cost: test.cost, Arrived: start, MaxWait: 10 * time.Second}
			refusal := queue.CheckAdmission(start, entry, test.limit)
			var got fault.Kind
			if refusal != nil {
				got = refusal.Kind()
				if refusal.Ran() != fault.NotRun || refusal.RetryAfter() <= 0 && test.cost <= test.limit.Burst {
					t.Errorf("refusal %v, retry-after %v", refusal, refusal.RetryAfter())
				}
			}
			if got != test.want {
				t.Errorf("refused as %q, want %q: %v", got, test.want, refusal)
			}
		})
	}
}

func BenchmarkPushPop(b *testing.B) {
	queue := New[string](Config{})
	names := []string{"a", "b", "c", "d", "e"}
	for index := range 50 {
		queue.Push(&Entry[string]{Organisation: names[index%5], Cost: 300, Arrived: start, MaxWait: time.Minute})
	}
	b.ReportAllocs()
	for index := 0; b.Loop(); index++ {
		entry := &Entry[string]{Organisation: names[index%5], Cost: 300, Arrived: start, MaxWait: time.Minute}
		queue.Push(entry)
		queue.Pop(start, always)
	}
}
