package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"jacinthfront.dev/jacinthfront/internal/state/conf"
)

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func newTestShard(rate, burst conf.Tokens) *Shard {
	return NewShard(ShardConfig{Rate: rate, Burst: burst, Start: epoch})
}

// Guards against wrong levels after each kind of call: accrual beyond the burst,
// credits for unknown or repeated refunds, late credits without headroom, and
// tokens issued by a new shard too early.
func TestShardSteps(t *testing.T) {
	const ms = time.Millisecond
	type step struct {
		at          time.Duration
		call        string // draw, back, settle, resize
		tokens      conf.Tokens
		least       conf.Tokens
		grant       uint64 // number of the grant, from 0
		want        conf.Tokens
		level       conf.Tokens
		outstanding conf.Tokens
	}
	tests := []struct {
		name  string
		steps []step
	}{
		{"new shard issues nothing, then accrues from zero", []step{
			{at: 599 * ms, call: "draw", tokens: 1, want: 0, level: 0},
			{at: 700 * ms, call: "draw", tokens: 200, want: 100, level: 0, outstanding: 100},
		}},
		{"level and outstanding stay within the burst", []step{
			{at: 9000 * ms, call: "draw", tokens: 1500, want: 1500, level: 500, outstanding: 1500},
			{at: 9500 * ms, call: "draw", tokens: 900, least: 900, want: 0, level: 500, outstanding: 1500},
			{at: 9700 * ms, call: "draw", tokens: 700, want: 600, level: 0, outstanding: 600},
		}},
		{"refund of an outstanding grant is credited in full, once", []step{
			{at: 9000 * ms, call: "draw", tokens: 1500, want: 1500, level: 500, outstanding: 1500},
			{at: 9100 * ms, call: "back", tokens: 400, want: 400, level: 900, outstanding: 1100},
			{at: 9100 * ms, call: "back", tokens: 400, want: 0, level: 900, outstanding: 1100},
			{at: 9100 * ms, call: "back", tokens: 300, want: 0, level: 900, outstanding: 1100},
			{at: 9100 * ms, call: "settle", tokens: 500, want: 100, level: 1000},
			{at: 9200 * ms, call: "back", tokens: 500, want: 0, level: 1100},
		}},
		{"unknown grant credits nothing", []step{
			{at: 1600 * ms, call: "draw", tokens: 100, want: 100, level: 900, outstanding: 100},
			{at: 1600 * ms, call: "back", grant: 1, tokens: 50, want: 0, level: 900, outstanding: 100},
		}},
		{"late refund is credited up to the minimum headroom", []step{
			{at: 1600 * ms, call: "draw", tokens: 1000, want: 1000, level: 0, outstanding: 1000},
			{at: 1600 * ms, call: "settle", want: 0},
			{at: 2600 * ms, call: "draw", tokens: 1000, want: 1000, level: 0, outstanding: 1000},
			{at: 2600 * ms, call: "settle", grant: 1, want: 0},
			{at: 3100 * ms, call: "back", tokens: 700, want: 700, level: 1200},
			// level + outstanding reached 1000 of 2000 at 2.6 s, and the credit above
			// adds 700 to it.
			{at: 3100 * ms, call: "back", tokens: 1000, want: 300, level: 1500},
			{at: 3100 * ms, call: "back", grant: 1, tokens: 900, want: 500, level: 2000},
		}},
		{"late refund to a shard that was full credits nothing", []step{
			{at: 1600 * ms, call: "draw", tokens: 1000, want: 1000, outstanding: 1000},
			{at: 9000 * ms, call: "draw", tokens: 2000, want: 2000, outstanding: 2000},
			{at: 9900 * ms, call: "back", tokens: 1000, want: 0, level: 300},
		}},
		{"refund after the refund window credits nothing", []step{
			{at: 1600 * ms, call: "draw", tokens: 1000, want: 1000, outstanding: 1000},
			{at: 1600 * ms, call: "resize", tokens: 0, least: 9000, outstanding: 1000},
			{at: RefundWindow + 2300*ms, call: "back", tokens: 1000, want: 0},
		}},
		{"refund after the refund window credits nothing, though an older grant is kept", []step{
			{at: 1600 * ms, call: "draw", tokens: 500, want: 500, level: 500, outstanding: 500},
			{at: 1600 * ms, call: "draw", tokens: 500, want: 500, outstanding: 1000},
			{at: 1600 * ms, call: "settle", grant: 1, outstanding: 500},
			{at: 1600 * ms, call: "resize", tokens: 0, least: 9000, outstanding: 500},
			{at: RefundWindow + 2000*ms, call: "back", grant: 1, tokens: 500, want: 0},
			{at: RefundWindow + 2000*ms, call: "back", tokens: 500, want: 500, level: 500},
		}},
		{"lower burst cuts the level", []step{
			{at: 9000 * ms, call: "draw", tokens: 300, want: 300, level: 1700, outstanding: 300},
			{at: 9000 * ms, call: "resize", tokens: 100, least: 400, level: 100, outstanding: 300},
			{at: 9600 * ms, call: "draw", tokens: 1, least: 1, want: 1, level: 99, outstanding: 1},
			{at: 9700 * ms, call: "back", tokens: 300, want: 290, level: 399, outstanding: 1},
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			shard := newTestShard(1000, 2000)
			first := shard.firstID
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
				got.level, got.outstanding = shard.Level(now)
				if diff := cmp.Diff(step, got, cmp.AllowUnexported(step)); diff != "" {
					t.Errorf("step %d (-want +got):\n%s", index, diff)
				}
			}
		})
	}
}

// Guards against a retry-after that is too short, which causes needless draws, or
// too long, which wastes tokens.
func TestShardRetryAfter(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 0))
		shard := newTestShard(1+conf.Tokens(random.Int64N(1000)), 2000)
		now := epoch
		for range 20 {
			now = now.Add(time.Duration(random.Int64N(int64(800 * time.Millisecond))))
			least := 1 + conf.Tokens(random.Int64N(2000))
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

// Guards against a breach of the bound of one shard. An adversary draws all there
// is, spends at the end of a grant's lifetime, refunds much or nothing, repeatedly
// and late, just before it draws everything again, and restarts and resizes the
// shard.
func TestShardBound(t *testing.T) {
	var late conf.Tokens
	for seed := range uint64(3000) {
		adversary := newAdversary(seed)
		adversary.run()
		if excess := adversary.boundChecker.excess(); excess > 0 {
			t.Errorf("seed %d: excess of %d billionths of a token", seed, excess)
		}
		late += adversary.lateCredits
	}
	if late == 0 {
		t.Error("no late refund was credited, so the test covers none")
	}
}

type adversary struct {
	random       *rand.Rand
	boundChecker *boundChecker
	shard        *Shard
	rate, burst  conf.Tokens
	now          time.Time
	grants       []*adversaryGrant
	lateCredits  conf.Tokens // credited after the end of a grant
}

// adversaryGrant is a grant with the tokens that its requests did not use.
type adversaryGrant struct {
	id               uint64
	expires          time.Time
	dispatched       time.Time
	unused, returned conf.Tokens
}

func newAdversary(seed uint64) *adversary {
	random := rand.New(rand.NewPCG(seed, 1))
	rate, burst := 1+conf.Tokens(random.Int64N(1000)), 1000+conf.Tokens(random.Int64N(3000))
	return &adversary{
		random: random, rate: rate, burst: burst, now: epoch,
		boundChecker: newBoundChecker(epoch, rate, burst), shard: newTestShard(rate, burst),
	}
}

func (adversary *adversary) run() {
	for range 80 {
		pauses := []time.Duration{0, time.Millisecond, DefaultGrantLifetime, time.Second, 5 * time.Second, time.Minute}
		adversary.now = adversary.now.Add(pauses[adversary.random.IntN(len(pauses))])
		if adversary.random.IntN(3) == 0 {
			adversary.now = adversary.now.Add(time.Duration(adversary.random.ExpFloat64() * float64(time.Second)))
		}
		switch adversary.random.IntN(40) {
		case 0:
			adversary.resize()
		case 1:
			adversary.draw()
			adversary.shard = NewShard(ShardConfig{Rate: adversary.rate, Burst: adversary.burst, Start: adversary.now})
			adversary.now = adversary.now.Add(DefaultGrantLifetime)
			adversary.draw()
		default:
			adversary.returnUnused()
			adversary.draw()
		}
	}
}

// draw draws everything and spends it now or at the end of the grant's lifetime.
func (adversary *adversary) draw() {
	for range 1 + adversary.random.IntN(2) {
		grant, ok := adversary.shard.Draw(adversary.now, 1+conf.Tokens(adversary.random.Int64N(int64(2*adversary.burst))), 0)
		if !ok {
			return
		}
		adversaryGrant := &adversaryGrant{id: grant.ID, expires: adversary.now.Add(grant.Lifetime), dispatched: adversary.now}
		if adversary.random.IntN(2) == 0 {
			adversaryGrant.dispatched = adversaryGrant.expires
		}
		used := grant.Tokens
		if adversary.random.IntN(2) == 0 {
			used = conf.Tokens(adversary.random.Int64N(int64(used) + 1))
		}
		adversaryGrant.unused = grant.Tokens - used
		first := used / 2 * conf.Tokens(adversary.random.IntN(2))
		adversary.boundChecker.recordUse(adversary.now, first)
		adversary.boundChecker.recordUse(adversaryGrant.dispatched, used-first)
		adversary.grants = append(adversary.grants, adversaryGrant)
	}
}

// returnUnused refunds some of what was not used, in parts and repeatedly.
func (adversary *adversary) returnUnused() {
	for _, grant := range adversary.grants[max(0, len(adversary.grants)-8):] {
		if adversary.random.IntN(3) > 0 {
			continue
		}
		part := conf.Tokens(adversary.random.Int64N(int64(grant.unused) + 1))
		if adversary.random.IntN(2) == 0 {
			part = grant.unused
		}
		grant.unused -= part
		grant.returned += part
		for range 1 + adversary.random.IntN(2) {
			credited := adversary.shard.Return(adversary.now, grant.id, grant.returned, !adversary.now.Before(grant.dispatched))
			if adversary.now.After(grant.expires.Add(DefaultGrantMargin)) {
				adversary.lateCredits += credited
			}
		}
	}
}

func (adversary *adversary) resize() {
	burst := 1000 + conf.Tokens(adversary.random.Int64N(3000))
	adversary.rate = 1 + conf.Tokens(adversary.random.Int64N(1000))
	adversary.shard.Resize(adversary.now, adversary.rate, burst)
	adversary.boundChecker.recordLimits(adversary.now, adversary.rate, max(adversary.burst, burst))
	adversary.now = adversary.now.Add(DefaultGrantLifetime + DefaultGrantMargin)
	adversary.boundChecker.recordLimits(adversary.now, adversary.rate, burst)
	adversary.burst = burst
}

// Guards against parts that don't add up to the total.
func TestPart(t *testing.T) {
	for _, total := range []conf.Tokens{0, 1, 7, 8, 1001} {
		for count := 1; count <= 8; count++ {
			var sum conf.Tokens
			for index := range count {
				sum += SplitPart(total, index, count)
			}
			if diff := cmp.Diff(total, sum); diff != "" {
				t.Errorf("%d parts (-want +got):\n%s", count, diff)
			}
		}
	}
}

func BenchmarkShardDraw(b *testing.B) {
	for _, outstanding := range []int{0, 300} {
		b.Run(fmt.Sprintf("outstanding=%d", outstanding), func(b *testing.B) {
			shard := newTestShard(1_000_000, 4_000_000)
			now := epoch.Add(time.Minute)
			step := time.Duration(0)
			if outstanding > 0 {
				step = shard.grantTimeout / time.Duration(outstanding)
			}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(step)
				grant, _ := shard.Draw(now, 100, 1)
				if outstanding == 0 {
					shard.Return(now, grant.ID, 100, true)
				}
			}
		})
	}
}
