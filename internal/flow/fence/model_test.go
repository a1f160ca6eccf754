package fence

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// serialMargin is by how much a process's serial is above that of the one before, in tokens.
const serialMargin = 4

// model is an instance with an engine and the processes that order there one after the
// other, and the entry instances that hear these.
type model struct {
	random *rand.Rand
	// now is the true time since the engine's first start.
	now time.Duration
	// timeOfDayError is by how much the time of day is wrong.
	timeOfDayError time.Duration
	engine         modelEngine
	checked        bool
	process        modelProcess
	// knows holds what each entry instance has heard.
	knows []modelKnowledge
	trace []string
}

// modelEngine is an engine that has seen fencing tokens up to one.
type modelEngine struct {
	Engine
	seen int64
	// lastRefused is the number of orders in a row that it refused.
	refusedInRow int
}

// modelProcess orders at the engine: a process of this version, or of the version before if
// issuer is nil, which takes its token from the time of day.
type modelProcess struct {
	issuer *Issuer
	token  int64
	// serial is the process's serial as entry instances know it, in tokens.
	serial int64
}

// modelKnowledge is what an entry instance has heard of processes.
type modelKnowledge struct {
	offset Offset
	// serial is the serial of the last process. That of the version before begins with its
	// token, and that of this version is above those that it hears.
	serial int64
}

func (model *model) moment() Moment { return at(model.now, model.timeOfDayError) }

// note adds an event to the trace.
func (model *model) note(format string, arguments ...any) {
	model.trace = append(model.trace, fmt.Sprintf("%8.3f ", model.now.Seconds())+fmt.Sprintf(format, arguments...))
}

// start starts a process of this version, or of the version before.
func (model *model) start(earlier bool) {
	model.note("start, earlier version %v, time of day wrong by %v", earlier, model.timeOfDayError)
	if !earlier {
		model.process = modelProcess{issuer: NewIssuer(Config{Checked: model.checked})}
		return
	}
	token := model.moment().TimeOfDay.UnixMilli()
	model.process = modelProcess{token: token, serial: token}
}

// order has some entry instances send their demand, in any order, and an order go out at the
// first one. Each of them then hears the process.
func (model *model) order(t *testing.T) {
	process := &model.process
	for number, entry := range model.random.Perm(len(model.knows)) {
		knowledge := &model.knows[entry]
		if process.issuer != nil {
			process.hear(*knowledge, model)
		}
		if number == 0 {
			model.send(t)
		}
		model.tell(knowledge)
	}
}

// hear has the process learn what a demand of an entry instance tells.
func (process *modelProcess) hear(knowledge modelKnowledge, model *model) {
	process.issuer.LearnOffset(knowledge.offset, model.moment())
	process.issuer.LearnToken(knowledge.serial)
	process.serial = max(process.serial, knowledge.serial+serialMargin)
}

// tell has an entry instance hear the process.
func (model *model) tell(knowledge *modelKnowledge) {
	if model.process.issuer == nil {
		knowledge.serial = model.process.serial
		return
	}
	knowledge.serial = model.process.serial
	if offset, ok := model.process.issuer.Offset(); ok {
		if knowledge.offset.StartedAt != model.engine.StartedAt {
			knowledge.offset = Offset{StartedAt: model.engine.StartedAt, Value: offset}
		}
		knowledge.offset.Value = max(knowledge.offset.Value, offset)
	}
}

// send sends an order to the engine and checks its token.
func (model *model) send(t *testing.T) {
	process, engine := &model.process, &model.engine
	token, source := process.token, "time of day"
	if process.issuer != nil {
		token, _ = process.issuer.Token(engine.Engine, model.moment())
		source = process.issuer.Source().String()
	}
	model.note("order with token %d (%s), the engine has seen %d", token, source, engine.seen)
	switch {
	case token >= engine.seen:
		engine.seen, engine.refusedInRow = token, 0
		engine.Orders++
		if process.issuer != nil {
			process.issuer.Accept()
		}
	case !model.checked:
		t.Fatalf("a lower token:\n%s", model)
	default:
		model.refuse(t)
	}
}

// refuse has the process raise its token, and checks that the engine refuses few orders in a
// row.
func (model *model) refuse(t *testing.T) {
	const most = 5
	if model.engine.refusedInRow++; model.engine.refusedInRow > most {
		t.Fatalf("%d orders refused in a row:\n%s", model.engine.refusedInRow, model)
	}
	if model.process.issuer == nil {
		model.process.token = max(model.process.token, model.moment().TimeOfDay.UnixMilli()) + refusalStep.Milliseconds()
		return
	}
	model.process.issuer.Refuse(model.moment())
}

func (model *model) String() string {
	text := ""
	for _, line := range model.trace {
		text += line + "\n"
	}
	return text
}

// forget has some entry instances forget what they know.
func (model *model) forget(all bool) {
	for number := range model.knows {
		if all || model.random.IntN(2) == 0 {
			model.note("entry instance %d starts again", number)
			model.knows[number] = modelKnowledge{}
		}
	}
}

// TestModel plays orders, steps of the time of day, kills of processes and entry instances,
// restarts of the engine and suspensions in random sequences. It guards against tokens that
// fall at an engine that does not check them (review/10), and against many orders in a row
// that one refuses that does.
func TestModel(t *testing.T) {
	const seeds, events = 2000, 60
	for _, checked := range []bool{false, true} {
		t.Run(fmt.Sprintf("checked %v", checked), func(t *testing.T) {
			for seed := range uint64(seeds) {
				random := rand.New(rand.NewPCG(seed, 1))
				model := &model{
					random: random, checked: checked, now: time.Second, knows: make([]modelKnowledge, 1+random.IntN(3)),
					engine: modelEngine{Engine: Engine{StartedAt: bornAt}},
				}
				model.note("seed %d", seed)
				model.start(false)
				for range events {
					model.play(t)
				}
			}
		})
	}
}

// play plays one random event.
func (model *model) play(t *testing.T) {
	model.now += time.Duration(1+model.random.IntN(1500)) * time.Millisecond
	switch model.random.IntN(8) {
	case 0:
		model.timeOfDayError = time.Duration(model.random.IntN(12_000)-6000) * time.Millisecond
		model.note("time of day wrong by %v", model.timeOfDayError)
	case 1, 2:
		model.start(false)
	case 3:
		model.forget(model.random.IntN(2) == 0)
		if model.random.IntN(4) > 0 {
			model.start(false)
		}
	case 4:
		if model.random.IntN(8) == 0 {
			model.engine = modelEngine{Engine: Engine{StartedAt: bornAt + model.now.Milliseconds()}}
			model.note("engine starts again")
		}
	default:
		model.order(t)
	}
}

// TestVersions guards against tokens that fall when the software changes: from the version
// that takes its token from the time of day to this one, and back.
func TestVersions(t *testing.T) {
	type start struct {
		// at is when the process starts after the engine's start.
		at      time.Duration
		earlier bool
		// timeOfDayError is by how much the time of day is wrong then, and forget means that
		// the entry instances start again too.
		timeOfDayError time.Duration
		forget         bool
	}
	const second = time.Second
	tests := []struct {
		name   string
		starts []start
	}{
		{"to this version", []start{{at: second, earlier: true}, {at: 60 * second}}},
		{"to this version, begun while the time of day was ahead", []start{{at: second, earlier: true, timeOfDayError: 5 * second}, {at: 3 * second}, {at: 4 * second}}},
		{"to this version, all killed at once", []start{{at: second, earlier: true, timeOfDayError: 5 * second}, {at: 3 * second, forget: true}, {at: 4 * second, forget: true}}},
		{"to this version, and the next kill while it is behind", []start{{at: second, earlier: true}, {at: 3 * second}, {at: 4 * second, timeOfDayError: -5 * second}}},
		{"back", []start{{at: second}, {at: 3 * second, earlier: true}}},
		{"back after kills", []start{{at: second}, {at: 3 * second}, {at: 5 * second, timeOfDayError: -4 * second}, {at: 7 * second, earlier: true}}},
		{"back while the time of day is right, and forth after it was behind", []start{{at: second, timeOfDayError: -5 * second}, {at: 3 * second, earlier: true}, {at: 5 * second}}},
		{"there and back", []start{{at: second, earlier: true}, {at: 3 * second}, {at: 4 * second}, {at: 6 * second, earlier: true}, {at: 8 * second}}},
	}
	for _, test := range tests {
		for _, checked := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, checked %v", test.name, checked), func(t *testing.T) {
				model := &model{
					random: rand.New(rand.NewPCG(1, 1)), checked: checked, knows: make([]modelKnowledge, 2),
					engine: modelEngine{Engine: Engine{StartedAt: bornAt}},
				}
				for _, start := range test.starts {
					model.now, model.timeOfDayError = start.at, start.timeOfDayError
					if start.forget {
						model.forget(true)
					}
					model.start(start.earlier)
					for range 3 {
						model.order(t)
						model.now += 10 * time.Millisecond
					}
				}
			})
		}
	}
}
