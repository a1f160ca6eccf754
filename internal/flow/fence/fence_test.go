package fence

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const (
	// bootedAt is when the instance of these tests started, and bornAt the engine, in Unix
	// milliseconds.
	bootedAt = 1_800_000_000_000
	bornAt   = bootedAt + 3_600_000
)

// at returns the moment at a true time after the engine's start, with a time of day that is
// wrong by an error.
func at(sinceBorn, timeOfDayError time.Duration) Moment {
	now := time.UnixMilli(bornAt).Add(sinceBorn)
	return Moment{TimeOfDay: now.Add(timeOfDayError), Uptime: now.Sub(time.UnixMilli(bootedAt))}
}

// TestChoose guards against a process whose first token is below one that an earlier process
// has used, because the time of day went back between their starts.
func TestChoose(t *testing.T) {
	const second = time.Second
	token := func(sinceBorn time.Duration) int64 { return bornAt + sinceBorn.Milliseconds() }
	type want struct {
		Token  int64
		Source Source
	}
	tests := []struct {
		name    string
		checked bool
		orders  int64
		// engine is the engine's start, bornAt if it is 0.
		engine  int64
		learn   []Offset
		earlier int64
		now     Moment
		want    want
	}{
		{name: "first order", now: at(10*second, 0), want: want{token(10 * second), FirstOrder}},
		{name: "first order while the time of day is ahead", now: at(10*second, 2*second), want: want{token(12 * second), FirstOrder}},
		{
			name: "after a process that began while it was ahead", orders: 5, learn: []Offset{{bornAt, bootedAt + 2400}},
			now: at(11*second, 0), want: want{token(11*second) + 2400, Inherited},
		},
		{
			name: "the highest offset counts", orders: 5, learn: []Offset{{bornAt, bootedAt + 2400}, {bornAt, bootedAt}},
			now: at(11*second, 0), want: want{token(11*second) + 2400, Inherited},
		},
		{
			name: "offset of an earlier incarnation", learn: []Offset{{bornAt - 1, bootedAt + 2400}},
			now: at(11*second, 0), want: want{token(11 * second), FirstOrder},
		},
		{
			name: "nobody knows the processes before", orders: 5,
			now: at(11*second, -2*second), want: want{token(11*second) + bornAt - bootedAt + maxClockError.Milliseconds(), UnknownPast},
		},
		{
			name: "nobody knows them, and the engine tells no start", orders: 5, engine: 1700,
			now: at(11*second, 2*second), want: want{token(13*second) + maxClockError.Milliseconds(), UnknownPast},
		},
		{
			name: "nobody knows them, but the engine refuses", checked: true, orders: 5,
			now: at(11*second, -2*second), want: want{token(9 * second), Checked},
		},
		{
			name: "after a process of the version before", orders: 5, earlier: token(10 * second),
			now: at(15*second, 0), want: want{token(15 * second), EarlierVersion},
		},
		{
			name: "after one that began while the time of day was ahead", orders: 5, earlier: token(17 * second),
			now: at(15*second, 0), want: want{token(17*second) + 1, EarlierVersion},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			issuer := NewIssuer(Config{Checked: test.checked})
			for _, offset := range test.learn {
				issuer.LearnOffset(offset, test.now)
			}
			issuer.LearnToken(test.earlier)
			engine := Engine{StartedAt: bornAt, Orders: test.orders}
			if test.engine != 0 {
				engine.StartedAt = test.engine
			}
			got, chosen := issuer.Token(engine, test.now)
			if diff := cmp.Diff(test.want, want{got, issuer.Source()}); diff != "" || !chosen {
				t.Errorf("chosen %v, token (-want +got):\n%s", chosen, diff)
			}
			if again, chosen := issuer.Token(Engine{StartedAt: bornAt, Orders: test.orders + 1}, at(time.Hour, 0)); again != got || chosen {
				t.Errorf("the next token is %d, chosen %v; want %d as before", again, chosen, got)
			}
		})
	}
}

// TestNoStart guards against a token that is the uptime alone beside an engine that tells no
// start, as nothing was heard of it.
func TestNoStart(t *testing.T) {
	now := at(time.Second, 0)
	if token, _ := NewIssuer(Config{}).Token(Engine{}, now); token != now.TimeOfDay.UnixMilli() {
		t.Errorf("token %d for the first order, want the time of day, %d", token, now.TimeOfDay.UnixMilli())
	}
}

// TestLearnLater guards against a process that keeps its token although it hears that an
// earlier one has used a higher offset.
func TestLearnLater(t *testing.T) {
	tests := []struct {
		name   string
		offset Offset
		want   bool
	}{
		{"higher", Offset{bornAt, bootedAt + 2400}, true},
		{"lower", Offset{bornAt, bootedAt - 1}, false},
		{"of an earlier incarnation", Offset{bornAt - 1, bootedAt + 2400}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			issuer, engine := NewIssuer(Config{}), Engine{StartedAt: bornAt}
			before, _ := issuer.Token(engine, at(time.Second, 0))
			if diff := cmp.Diff(test.want, issuer.LearnOffset(test.offset, at(2*time.Second, 0))); diff != "" {
				t.Errorf("raised (-want +got):\n%s", diff)
			}
			if after, _ := issuer.Token(engine, at(2*time.Second, 0)); (after > before) != test.want {
				t.Errorf("token %d, then %d", before, after)
			}
		})
	}
}

// TestRefuse guards against an engine that gets no order for minutes because the token is
// raised by too little at a time.
func TestRefuse(t *testing.T) {
	const seen = bornAt + int64(24*time.Hour/time.Millisecond)
	issuer, engine := NewIssuer(Config{Checked: true}), Engine{StartedAt: bornAt, Orders: 5}
	refusals := 0
	for now := at(time.Second, 0); ; refusals++ {
		if token, _ := issuer.Token(engine, now); token >= seen {
			break
		}
		issuer.Refuse(now)
	}
	if refusals > 40 {
		t.Errorf("%d refusals until the token was above one a day ahead, want at most 40", refusals)
	}
	issuer.Accept()
	before, _ := issuer.Token(engine, at(time.Second, 0))
	issuer.Refuse(at(time.Second, 0))
	if after, _ := issuer.Token(engine, at(time.Second, 0)); after-before != refusalStep.Milliseconds() {
		t.Errorf("raised by %d ms after an accepted order, want %v", after-before, refusalStep)
	}
}
