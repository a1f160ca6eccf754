package chaos

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// RequestKind is a kind of request.
type RequestKind int

const (
	// Chat is a chat completion. It is idempotent.
	Chat RequestKind = iota
	// Text is a text completion. It is idempotent.
	Text
	// KeyedText is a text completion with an Idempotency-Key.
	KeyedText
	// StockQuery is an idempotent GET request to the plain service.
	StockQuery
	// UnkeyedOrder is a non-idempotent POST request to the plain service without
	// an Idempotency-Key.
	UnkeyedOrder
	// KeyedOrder is a non-idempotent POST request to the plain service with an
	// Idempotency-Key.
	KeyedOrder
	// Foreign is a text completion on another organisation's adapter. It must be
	// refused.
	Foreign
)

var kindNames = [...]string{"chat", "text", "keyed-text", "stock", "order", "keyed-order", "foreign"}

// String returns the kind's name.
func (kind RequestKind) String() string { return kindNames[kind] }

// UsesAdapter reports whether requests of the kind run on an adapter.
func (kind RequestKind) UsesAdapter() bool { return kind <= KeyedText || kind == Foreign }

// Keyed reports whether requests of the kind carry an Idempotency-Key.
func (kind RequestKind) Keyed() bool { return kind == KeyedText || kind == KeyedOrder }

// AtMostOnce reports whether a request of the kind may run at most once.
func (kind RequestKind) AtMostOnce() bool { return kind.Keyed() || kind == UnkeyedOrder }

// Request is one logical request. Upstreams see its index, by which a dispatch is
// matched with its request: model requests have distinct max_tokens, and requests
// to the plain service have distinct paths.
type Request struct {
	Index int
	Kind  RequestKind
	// At is the time after the start of the load.
	At time.Duration
	// Organisation and Adapter are indices.
	Organisation int
	Adapter      int
	// Version is the adapter's version, or 0 for the default version.
	Version uint32
	Stream  bool
	// Words is the prompt's length in words or the quantity of an order.
	Words int
	// Entry is the index of the preferred entry instance.
	Entry int
	// Withdrawn says that the request presents the key that may be
	// withdrawn during the run.
	Withdrawn bool
	// Copies are the delays after which copies of a keyed request are sent.
	// Each copy goes to the entry instance after that of the previous one.
	Copies []time.Duration
}

// maxTokens is distinct for each request, so that it identifies the request at an
// engine.
func (request Request) maxTokens() int64 { return int64(minMaxTokens + request.Index) }

func (request Request) path() string {
	if request.Kind == StockQuery {
		return fmt.Sprintf("/stock/%d", request.Index)
	}
	return fmt.Sprintf("/orders/%d", request.Index)
}

// Failure is one planned failure of a schedule.
type Failure struct {
	// Name is the name of a failure kind.
	Name string
	// At is the time after the start of the load.
	At       time.Duration
	Duration time.Duration
	// Selector selects the targets among the possible ones.
	Selector uint64
}

// String describes the failure.
func (failure Failure) String() string {
	return fmt.Sprintf("%s at %s for %s (pick %d)", failure.Name, failure.At, failure.Duration, failure.Selector)
}

// Schedule holds the requests and failures of one run.
type Schedule struct {
	Seed     uint64
	Requests []Request
	Failures []Failure
}

const (
	minMaxTokens = 6
	// sendWindow is the time over which requests are sent.
	sendWindow              = 6 * time.Second
	minRequests             = 25
	extraRequests           = 20
	organisations           = 3
	adaptersPerOrganisation = 3
	adapterVersions         = 2
	failuresPerSchedule     = 2
)

// Generate returns the schedule of a seed. The same seed always gives the same
// schedule.
func Generate(seed uint64) Schedule {
	random := rand.New(rand.NewPCG(seed, 11))
	schedule := Schedule{Seed: seed}
	for index := range minRequests + random.IntN(extraRequests) {
		schedule.Requests = append(schedule.Requests, generateRequest(random, index))
	}
	for _, number := range random.Perm(len(failureKinds))[:failuresPerSchedule] {
		schedule.Failures = append(schedule.Failures, Failure{
			Name:     failureKinds[number].name,
			At:       500*time.Millisecond + time.Duration(random.Int64N(int64(4*time.Second))).Round(time.Millisecond),
			Duration: 300*time.Millisecond + time.Duration(random.Int64N(int64(5*time.Second))).Round(time.Millisecond),
			Selector: random.Uint64(),
		})
	}
	return schedule
}

// kindWeights are the relative frequencies of the kinds of request.
var kindWeights = [...]int{Chat: 4, Text: 4, KeyedText: 3, StockQuery: 2, UnkeyedOrder: 4, KeyedOrder: 5, Foreign: 1}

func generateRequest(random *rand.Rand, index int) Request {
	request := Request{
		Index: index, Kind: pickKind(random), Organisation: random.IntN(organisations), Adapter: random.IntN(adaptersPerOrganisation),
		At:     time.Duration(random.Int64N(int64(sendWindow))).Round(time.Millisecond),
		Stream: random.IntN(2) == 0, Words: 1 + random.IntN(12), Entry: random.IntN(entryCount),
	}
	if random.IntN(2) == 0 {
		request.Version = 1 + uint32(random.IntN(adapterVersions))
	}
	request.Withdrawn = request.Organisation == 0 && random.IntN(2) == 0
	if request.Kind.Keyed() {
		for range random.IntN(3) {
			request.Copies = append(request.Copies, drawCopyDelay(random))
		}
	}
	return request
}

func pickKind(random *rand.Rand) RequestKind {
	total := 0
	for _, weight := range kindWeights {
		total += weight
	}
	pick := random.IntN(total)
	for kind, weight := range kindWeights {
		if pick < weight {
			return RequestKind(kind)
		}
		pick -= weight
	}
	return Chat
}

// drawCopyDelay returns a delay below 30 ms in half of the cases, so that copies
// of a request are in flight at the same time.
func drawCopyDelay(random *rand.Rand) time.Duration {
	if random.IntN(2) == 0 {
		return time.Duration(random.IntN(30)) * time.Millisecond
	}
	return time.Duration(random.IntN(4000)) * time.Millisecond
}
