package chaos

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Kind is a kind of request.
type Kind int

const (
	// Chat and Text are idempotent model requests.
	Chat Kind = iota
	// Text is a text completion.
	Text
	// KeyedText is a text completion with an Idempotency-Key.
	KeyedText
	// Stock is an idempotent call of the plain service.
	Stock
	// Order is a non-idempotent call without an Idempotency-Key.
	Order
	// KeyedOrder is a non-idempotent call with an Idempotency-Key.
	KeyedOrder
	// Foreign asks for another organisation's adapter and must be refused.
	Foreign
)

var kindNames = [...]string{"chat", "text", "keyed-text", "stock", "order", "keyed-order", "foreign"}

// String returns the kind's name.
func (kind Kind) String() string { return kindNames[kind] }

// Model reports whether the kind runs on an adapter.
func (kind Kind) Model() bool { return kind <= KeyedText || kind == Foreign }

// Keyed reports whether the kind carries an Idempotency-Key.
func (kind Kind) Keyed() bool { return kind == KeyedText || kind == KeyedOrder }

// Once reports whether the kind may run at most once.
func (kind Kind) Once() bool { return kind.Keyed() || kind == Order }

// Request is one logical request. Its index names it at the upstreams: model
// requests have distinct max_tokens, calls have distinct paths.
type Request struct {
	Index        int
	Kind         Kind
	At           time.Duration
	Organisation int
	Adapter      int
	// Version is 0 for the default version.
	Version uint32
	Stream  bool
	Words   int
	Entry   int
	// Withdrawn says that it presents the key that is withdrawn.
	Withdrawn bool
	// Copies are the delays after which a keyed request is sent again through
	// the other entry instance.
	Copies []time.Duration
}

// maxTokens is distinct for each request, so that a run tells whose it is.
func (request Request) maxTokens() int64 { return int64(leastTokens + request.Index) }

func (request Request) path() string {
	if request.Kind == Stock {
		return fmt.Sprintf("/stock/%d", request.Index)
	}
	return fmt.Sprintf("/orders/%d", request.Index)
}

// Failure is one failure of a schedule.
type Failure struct {
	Name string
	At   time.Duration
	For  time.Duration
	// Pick selects the target among those that the failure fits.
	Pick uint64
}

// String describes the failure.
func (failure Failure) String() string {
	return fmt.Sprintf("%s at %s for %s (pick %d)", failure.Name, failure.At, failure.For, failure.Pick)
}

// Schedule is what happens in one run.
type Schedule struct {
	Seed     uint64
	Requests []Request
	Failures []Failure
}

const (
	leastTokens = 6
	// loadTime is the time over which requests are sent.
	loadTime        = 6 * time.Second
	leastRequests   = 25
	spreadRequests  = 20
	organisations   = 3
	adaptersEach    = 3
	adapterVersions = 2
	failuresAtOnce  = 2
)

// Generate returns the schedule of a seed.
func Generate(seed uint64) Schedule {
	random := rand.New(rand.NewPCG(seed, 11))
	schedule := Schedule{Seed: seed}
	for index := range leastRequests + random.IntN(spreadRequests) {
		schedule.Requests = append(schedule.Requests, generateRequest(random, index))
	}
	for _, number := range random.Perm(len(failures))[:failuresAtOnce] {
		schedule.Failures = append(schedule.Failures, Failure{
			Name: failures[number].name,
			At:   500*time.Millisecond + time.Duration(random.Int64N(int64(4*time.Second))).Round(time.Millisecond),
			For:  300*time.Millisecond + time.Duration(random.Int64N(int64(5*time.Second))).Round(time.Millisecond),
			Pick: random.Uint64(),
		})
	}
	return schedule
}

// kindWeights are the shares of the kinds of request.
var kindWeights = [...]int{Chat: 4, Text: 4, KeyedText: 3, Stock: 2, Order: 4, KeyedOrder: 5, Foreign: 1}

func generateRequest(random *rand.Rand, index int) Request {
	request := Request{
		Index: index, Kind: pickKind(random), Organisation: random.IntN(organisations), Adapter: random.IntN(adaptersEach),
		At:     time.Duration(random.Int64N(int64(loadTime))).Round(time.Millisecond),
		Stream: random.IntN(2) == 0, Words: 1 + random.IntN(12), Entry: random.IntN(entryCount),
	}
	if random.IntN(2) == 0 {
		request.Version = 1 + uint32(random.IntN(adapterVersions))
	}
	request.Withdrawn = request.Organisation == 0 && random.IntN(2) == 0
	if request.Kind.Keyed() {
		for range random.IntN(3) {
			request.Copies = append(request.Copies, copyDelay(random))
		}
	}
	return request
}

func pickKind(random *rand.Rand) Kind {
	total := 0
	for _, weight := range kindWeights {
		total += weight
	}
	pick := random.IntN(total)
	for kind, weight := range kindWeights {
		if pick < weight {
			return Kind(kind)
		}
		pick -= weight
	}
	return Chat
}

// copyDelay lets copies meet in flight in half of the cases.
func copyDelay(random *rand.Rand) time.Duration {
	if random.IntN(2) == 0 {
		return time.Duration(random.IntN(30)) * time.Millisecond
	}
	return time.Duration(random.IntN(4000)) * time.Millisecond
}
