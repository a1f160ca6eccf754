// Package reqgen generates a seeded stream of letters, chats, bookings and status
// checks, sends it to entry instances and checks every response.
package reqgen

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"jacinthfront.dev/jacinthfront/internal/state/conf"
)

// Kind is a kind of request.
type Kind int

const (
	// Letter is a model request of the patient class, which tolerates waiting.
	Letter Kind = iota
	// Chat is an interactive model request.
	Chat
	// Booking is a non-idempotent request to the plain service.
	Booking
	// StatusCheck is an idempotent, interactive request to the plain service.
	StatusCheck
)

// String returns the name of the kind as written in reports.
func (kind Kind) String() string {
	return [...]string{"letter", "chat", "booking", "check"}[kind]
}

// UsesAdapter reports whether requests of the kind run on an adapter.
func (kind Kind) UsesAdapter() bool { return kind == Letter || kind == Chat }

// Organisation is one source of requests. Its token bucket is refilled with Rate
// tokens per second and holds up to Burst tokens.
type Organisation struct {
	Name  string
	Key   string
	Rate  conf.Tokens
	Burst conf.Tokens
	// RequestRate is the mean number of requests per second.
	RequestRate float64
	// AdapterCount is the number of the organisation's adapters; AdapterName
	// names them.
	AdapterCount int
}

// Surge multiplies the request rate of one organisation by Factor for a time.
type Surge struct {
	Organisation string
	Factor       float64
	From         time.Duration
	Until        time.Duration
}

// Plan describes the requests of a run.
type Plan struct {
	ModelService  string
	PlainService  string
	Organisations []Organisation
	// KindWeights holds the relative frequencies of the kinds, in the order of
	// their constants.
	KindWeights [4]float64
	// ZipfExponent is the exponent of the Zipf distribution of requests over
	// adapters; above 1.
	ZipfExponent float64
	// PopularityShiftAfter is when the popularity shifts to other adapters; 0
	// disables the shift.
	PopularityShiftAfter time.Duration
	Surge                Surge
	// PromptTokens and MaxTokens are inclusive ranges.
	PromptTokens [2]int
	MaxTokens    [2]int
	// RepeatFraction is the fraction of bookings that the caller sends twice at
	// once with the same Idempotency-Key.
	RepeatFraction float64
}

// AdapterName returns the name of an organisation's adapter.
func AdapterName(organisation string, index int) string {
	return fmt.Sprintf("%s-%04d", organisation, index)
}

// AdapterOwner returns the organisation of an adapter named by AdapterName.
func AdapterOwner(adapter string) string {
	if cut := strings.LastIndexByte(adapter, '-'); cut >= 0 {
		return adapter[:cut]
	}
	return ""
}

// request is one request of a plan.
type request struct {
	id           int
	kind         Kind
	organisation Organisation
	adapter      string
	prompt       string
	promptTokens int
	maxTokens    int
	// sendTwice requests are sent twice at once with the same Idempotency-Key.
	sendTwice bool
	// overRate requests exceed the organisation's rate, so that they may be
	// refused.
	overRate bool
	// inWarmup requests are checked but not measured.
	inWarmup bool
}

// source generates the requests of one organisation from a seed.
type source struct {
	plan         Plan
	organisation Organisation
	random       *rand.Rand
	zipf         *rand.Zipf
	nextID       int
}

func newSource(plan Plan, index int, seed uint64) *source {
	random := rand.New(rand.NewPCG(seed, uint64(index)))
	organisation := plan.Organisations[index]
	return &source{
		plan:         plan,
		organisation: organisation,
		random:       random,
		zipf:         rand.NewZipf(random, plan.ZipfExponent, 1, uint64(organisation.AdapterCount-1)),
		nextID:       index,
	}
}

// nextInterval returns the time until the next request. Requests arrive as a
// Poisson process.
func (source *source) nextInterval(elapsed time.Duration) time.Duration {
	rate := source.organisation.RequestRate
	surge := source.plan.Surge
	if surge.Organisation == source.organisation.Name && elapsed >= surge.From && elapsed < surge.Until {
		rate *= surge.Factor
	}
	return time.Duration(source.random.ExpFloat64() / rate * float64(time.Second))
}

// nextRequest draws the next request of the organisation.
func (source *source) nextRequest(elapsed time.Duration) request {
	drawn := request{
		id:           source.nextID,
		kind:         source.drawKind(),
		organisation: source.organisation,
		promptTokens: source.drawInRange(source.plan.PromptTokens),
		maxTokens:    source.drawInRange(source.plan.MaxTokens),
	}
	source.nextID += len(source.plan.Organisations)
	drawn.sendTwice = drawn.kind == Booking && source.random.Float64() < source.plan.RepeatFraction
	rank := int(source.zipf.Uint64())
	if source.plan.PopularityShiftAfter > 0 && elapsed >= source.plan.PopularityShiftAfter {
		rank = (rank + source.organisation.AdapterCount/2) % source.organisation.AdapterCount
	}
	drawn.adapter = AdapterName(source.organisation.Name, rank)
	drawn.prompt = promptText(drawn.id, drawn.promptTokens)
	return drawn
}

func (source *source) drawKind() Kind {
	total := 0.0
	for _, weight := range source.plan.KindWeights {
		total += weight
	}
	point := source.random.Float64() * total
	for kind, weight := range source.plan.KindWeights {
		if point < weight {
			return Kind(kind)
		}
		point -= weight
	}
	return StatusCheck
}

// drawInRange draws a number from an inclusive range.
func (source *source) drawInRange(limits [2]int) int {
	return limits[0] + source.random.IntN(limits[1]-limits[0]+1)
}

// bytesPerToken is the ratio by which entry instances estimate prompt tokens.
const bytesPerToken = 4

// promptText returns a prompt of the given number of estimated tokens that
// differs for each request.
func promptText(id, tokens int) string {
	text := fmt.Sprintf("request %d: ", id)
	for len(text) < tokens*bytesPerToken {
		text += "describe the bench "
	}
	return text[:tokens*bytesPerToken]
}
