package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"jacinthfront.dev/jacinthfront/internal/state/model"
)

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func newTestShard(rate, burst model.Tokens) *Shard {
	return NewShard(ShardConfig{Rate: rate, Burst: burst, Start: epoch})
}

// Guards against wrong levels after each kind of call: accrual beyond the
// burst, credits for unknown or repeated returns, late credits that did not
// fit, and tokens issued by a fresh shard.
func TestShardSteps(t *testing.T) {
	const ms = time.Millisecond
	type step struct {
		at      time.Duration
		call    string // draw, back, settle, resize
		tokens  model.Tokens
		least   model.Tokens
		grant   uint64 // number of the grant, from 0
		want    model.Tokens
		level   model.Tokens
		pending model.Tokens
	}
	tests := []struct {
		name  string
		steps []step
	}{
		{"fresh shard issues nothing, then accrues from zero", []step{
			{at: 599 * ms, call: "draw", tokens: 1, want: 0, level: 0},
			{at: 700 * ms, call: "draw", tokens: 200, want: 100, level: 0, pending: 100},
		}},
		{"level and outstanding stay within the burst", []step{
			{at: 9000 * ms, call: "draw", tokens: 1500, want: 1500, level: 500, pending: 1500},
			{at: 9500 * ms, call: "draw", tokens: 900, least: 900, want: 0, level: 500, pending: 1500},
			{at: 9700 * ms, call: "draw", tokens: 700, want: 600, level: 0, pending: 600},
		}},
		{"outstanding return is credited in full, once", []step{
			{at: 9000 * ms, call: "draw", tokens: 1500, want: 1500, level: 500, pending: 1500},
			{at: 9100 * ms, call: "back", tokens: 400, want: 400, level: 900, pending: 1100},
			{at: 9100 * ms, call: "back", tokens: 400, want: 0, level: 900, pending: 1100},
			{at: 9100 * ms, call: "back", tokens: 300, want: 0, level: 900, pending: 1100},
			{at: 9100 * ms, call: "settle", tokens: 500, want: 100, level: 1000},
			{at: 9200 * ms, call: "back", tokens: 500, want: 0, level: 1100},
		}},
		{"unknown grant credits nothing", []step{
			{at: 1600 * ms, call: "draw", tokens: 100, want: 100, level: 900, pending: 100},
			{at: 1600 * ms, call: "back", grant: 1, tokens: 50, want: 0, level: 900, pending: 100},
		}},
		{"late return credits what would have fitted", []step{
			{at: 1600 * ms, call: "draw", tokens: 1000, want: 1000, level: 0, pending: 1000},
			{at: 1600 * ms, call: "settle", want: 0},
			{at: 2600 * ms, call: "draw", tokens: 1000, want: 1000, level: 0, pending: 1000},
			{at: 2600 * ms, call: "settle", grant: 1, want: 0},
			{at: 3100 * ms, call: "back", tokens: 700, want: 700, level: 1200},
			// The sum reached 1000 of 2000 at 2.6 s, and the credit above adds 700 to it.
			{at: 3100 * ms, call: "back", tokens: 1000, want: 300, level: 1500},
			{at: 3100 * ms, call: "back", grant: 1, tokens: 900, want: 500, level: 2000},
		}},
		{"late return to a shard that was full credits nothing", []step{
			{at: 1600 * ms, call: "draw", tokens: 1000, want: 1000, pending: 1000},
			{at: 9000 * ms, call: "draw", tokens: 2000, want: 2000, pending: 2000},
			{at: 9900 * ms, call: "back", tokens: 1000, want: 0, level: 300},
		}},
		{"return after the memory credits nothing", []step{
			{at: 1600 * ms, call: "draw", tokens: 1000, want: 1000, pending: 1000},
			{at: 1600 * ms, call: "resize", tokens: 0, least: 9000, pending: 1000},
			{at: Memory + 2300*ms, call: "back", tokens: 1000, want: 0},
		}},
		{"return after the memory credits nothing, though an older grant is remembered", []step{
			{at: 1600 * ms, call: "draw", tokens: 500, want: 500, level: 500, pending: 500},
			{at: 1600 * ms, call: "draw", tokens: 500, want: 500, pending: 1000},
			{at: 1600 * ms, call: "settle", grant: 1, pending: 500},
			{at: 1600 * ms, call: "resize", tokens: 0, least: 9000, pending: 500},
			{at: Memory + 2000*ms, call: "back", grant: 1, tokens: 500, want: 0},
			{at: Memory + 2000*ms, call: "back", tokens: 500, want: 500, level: 500},
		}},
		{"lower burst cuts the level", []step{
			{at: 9000 * ms, call: "draw", tokens: 300, want: 300, level: 1700, pending: 300},
			{at: 9000 * ms, call: "resize", tokens: 100, least: 400, level: 100, pending: 300},
			{at: 9600 * ms, call: "draw", tokens: 1, least: 1, want: 1, level: 99, pending: 1},
			{at: 9700 * ms, call: "back", tokens: 300, want: 290, level: 399, pending: 1},
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			shard := newTestShard(1000, 2000)
			first := shard.first
			for index, step := range test.steps {
				now := epoch.Add(step.at)
				got := step
				switch step.call {
				case "draw":
					grant, ok := shard.Draw(now, step.tokens, step.least)
					got.want = grant.Tokens
					if ok != (grant.Tokens > 0) || ok == (grant.RetryAfter > 0) {
						t.Errorf("step %d: grant %+v with ok %v", index, grant, ok)
					}
				case "back", "settle":
					got.want = shard.Return(now, first+step.grant, step.tokens, step.call == "settle")
				case "resize":
					shard.Resize(now, step.tokens, step.least)
				}
				got.level, got.pending = shard.Level(now)
				if diff := cmp.Diff(step, got, cmp.AllowUnexported(step)); diff != "" {
					t.Errorf("step %d (-want +got):\n%s", index, diff)
				}
			}
		})
	}
}

// Guards against a retry-after that is too short, which causes traffic, or too
// long, which wastes tokens.
func TestShardRetryAfter(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 0))
		shard := newTestShard(1+model.Tokens(random.Int64N(1000)), 2000)
		now := epoch
		for range 20 {
			now = now.Add(time.Duration(random.Int64N(int64(800 * time.Millisecond))))
			least := 1 + model.Tokens(random.Int64N(2000))
			grant, ok := shard.Draw(now, least, least)
			if ok {
				continue
			}
			early, late := now.Add(grant.RetryAfter-2), now.Add(grant.RetryAfter)
			if level, _ := shard.Level(early); level >= least {
				t.Fatalf("seed %d: %d available before retry-after", seed, level)
			}
			if level, _ := shard.Level(late); level < least {
				t.Fatalf("seed %d: %d of %d available after retry-after %v", seed, level, least, grant.RetryAfter)
			}
			now = late
		}
	}
}

// Guards against a breach of the bound of one shard. The driver is hostile: it
// takes all there is, spends at the last moment of a grant's life, returns much
// or nothing, repeatedly and late, just before it takes all again, and restarts
// and resizes the shard.
func TestShardBound(t *testing.T) {
	var late model.Tokens
	for seed := range uint64(3000) {
		driver := newDriver(seed)
		driver.run()
		if excess := driver.observer.excess(); excess > 0 {
			t.Errorf("seed %d: excess of %d billionths of a token", seed, excess)
		}
		late += driver.late
	}
	if late == 0 {
		t.Error("no late return was credited, so the test covers none")
	}
}

type driver struct {
	random      *rand.Rand
	observer    *observer
	shard       *Shard
	rate, burst model.Tokens
	now         time.Time
	grants      []*spent
	late        model.Tokens // credited after the end of a grant
}

// spent is a grant with the tokens that its requests did not use.
type spent struct {
	id               uint64
	expires          time.Time
	dispatched       time.Time
	unused, returned model.Tokens
}

func newDriver(seed uint64) *driver {
	random := rand.New(rand.NewPCG(seed, 1))
	rate, burst := 1+model.Tokens(random.Int64N(1000)), 1000+model.Tokens(random.Int64N(3000))
	return &driver{
		random: random, rate: rate, burst: burst, now: epoch,
		observer: newObserver(epoch, rate, burst), shard: newTestShard(rate, burst),
	}
}

func (driver *driver) run() {
	for range 80 {
		pauses := []time.Duration{0, time.Millisecond, DefaultGrantLifetime, time.Second, 5 * time.Second, time.Minute}
		driver.now = driver.now.Add(pauses[driver.random.IntN(len(pauses))])
		if driver.random.IntN(3) == 0 {
			driver.now = driver.now.Add(time.Duration(driver.random.ExpFloat64() * float64(time.Second)))
		}
		switch driver.random.IntN(40) {
		case 0:
			driver.resize()
		case 1:
			driver.draw()
			driver.shard = NewShard(ShardConfig{Rate: driver.rate, Burst: driver.burst, Start: driver.now})
			driver.now = driver.now.Add(DefaultGrantLifetime)
			driver.draw()
		default:
			driver.refund()
			driver.draw()
		}
	}
}

// draw takes everything and spends it now or at the end of its life.
func (driver *driver) draw() {
	for range 1 + driver.random.IntN(2) {
		grant, ok := driver.shard.Draw(driver.now, 1+model.Tokens(driver.random.Int64N(int64(2*driver.burst))), 0)
		if !ok {
			return
		}
		spent := &spent{id: grant.ID, expires: driver.now.Add(grant.Lifetime), dispatched: driver.now}
		if driver.random.IntN(2) == 0 {
			spent.dispatched = spent.expires
		}
		used := grant.Tokens
		if driver.random.IntN(2) == 0 {
			used = model.Tokens(driver.random.Int64N(int64(used) + 1))
		}
		spent.unused = grant.Tokens - used
		first := used / 2 * model.Tokens(driver.random.IntN(2))
		driver.observer.use(driver.now, first)
		driver.observer.use(spent.dispatched, used-first)
		driver.grants = append(driver.grants, spent)
	}
}

// refund returns some of what was not used, in parts and repeatedly.
func (driver *driver) refund() {
	for _, grant := range driver.grants[max(0, len(driver.grants)-8):] {
		if driver.random.IntN(3) > 0 {
			continue
		}
		part := model.Tokens(driver.random.Int64N(int64(grant.unused) + 1))
		if driver.random.IntN(2) == 0 {
			part = grant.unused
		}
		grant.unused -= part
		grant.returned += part
		for range 1 + driver.random.IntN(2) {
			credited := driver.shard.Return(driver.now, grant.id, grant.returned, !driver.now.Before(grant.dispatched))
			if driver.now.After(grant.expires.Add(DefaultMargin)) {
				driver.late += credited
			}
		}
	}
}

func (driver *driver) resize() {
	burst := 1000 + model.Tokens(driver.random.Int64N(3000))
	driver.rate = 1 + model.Tokens(driver.random.Int64N(1000))
	driver.shard.Resize(driver.now, driver.rate, burst)
	driver.observer.limit(driver.now, driver.rate, max(driver.burst, burst))
	driver.now = driver.now.Add(DefaultGrantLifetime + DefaultMargin)
	driver.observer.limit(driver.now, driver.rate, burst)
	driver.burst = burst
}

// Guards against parts that lose or add tokens.
func TestPart(t *testing.T) {
	for _, total := range []model.Tokens{0, 1, 7, 8, 1001} {
		for count := 1; count <= 8; count++ {
			var sum model.Tokens
			for index := range count {
				sum += Part(total, index, count)
			}
			if diff := cmp.Diff(total, sum); diff != "" {
				t.Errorf("%d parts (-want +got):\n%s", count, diff)
			}
		}
	}
}

func BenchmarkShardDraw(b *testing.B) {
	for _, pending := range []int{0, 300} {
		b.Run(fmt.Sprintf("outstanding=%d", pending), func(b *testing.B) {
			shard := newTestShard(1_000_000, 4_000_000)
			now := epoch.Add(time.Minute)
			step := time.Duration(0)
			if pending > 0 {
				step = shard.hold / time.Duration(pending)
			}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(step)
				grant, _ := shard.Draw(now, 100, 1)
				if pending == 0 {
					shard.Return(now, grant.ID, 100, true)
				}
			}
		})
	}
}
