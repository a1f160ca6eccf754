// Package reqgen generates a seeded load of letters, chats, bookings and status
// checks against entry instances, and checks every answer.
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
	// Letter is patient model work.
	Letter Kind = iota
	// Chat is interactive model work.
	Chat
	// Booking is non-idempotent work at the plain service.
	Booking
	// StatusCheck is idempotent interactive work at the plain service.
	StatusCheck
)

// String returns the kind as written in reports.
func (kind Kind) String() string {
	return [...]string{"letter", "chat", "booking", "check"}[kind]
}

// UsesAdapter reports whether the kind runs on an adapter.
func (kind Kind) UsesAdapter() bool { return kind == Letter || kind == Chat }

// Organisation is one source of load.
type Organisation struct {
	Name  string
	Key   string
	Rate  conf.Tokens
	Burst conf.Tokens
	// RequestRate is the mean number of requests a second.
	RequestRate float64
	// AdapterCount is the number of adapters, named by AdapterName.
	AdapterCount int
}

// Surge multiplies the load of one organisation for a time.
type Surge struct {
	Organisation string
	Factor       float64
	From         time.Duration
	Until        time.Duration
}

// Plan describes a load.
type Plan struct {
	ModelService  string
	PlainService  string
	Organisations []Organisation
	// KindWeights weighs the kinds, in the order of their constants.
	KindWeights [4]float64
	// ZipfExponent is the exponent of the Zipf distribution of adapters; above 1.
	ZipfExponent float64
	// PopularityShiftAfter moves popularity to other adapters at this time; 0 never.
	PopularityShiftAfter time.Duration
	Surge                Surge
	// PromptTokens and MaxTokens are inclusive ranges.
	PromptTokens [2]int
	MaxTokens    [2]int
	// RepeatFraction is the part of bookings that the caller sends twice with
	// the same Idempotency-Key.
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

// request is one planned request.
type request struct {
	id           int
	kind         Kind
	organisation Organisation
	adapter      string
	prompt       string
	promptTokens int
	maxTokens    int
	repeat       bool
	limited      bool
	// warming requests are checked and not measured.
	warming bool
}

// source draws the requests of one organisation.
type source struct {
	plan         Plan
	organisation Organisation
	random       *rand.Rand
	zipf         *rand.Zipf
	next         int
}

func newSource(plan Plan, index int, seed uint64) *source {
	random := rand.New(rand.NewPCG(seed, uint64(index)))
	organisation := plan.Organisations[index]
	return &source{
		plan:         plan,
		organisation: organisation,
		random:       random,
		zipf:         rand.NewZipf(random, plan.ZipfExponent, 1, uint64(organisation.AdapterCount-1)),
		next:         index,
	}
}

// gap returns the time until the next request of a Poisson process.
func (source *source) gap(elapsed time.Duration) time.Duration {
	rate := source.organisation.RequestRate
	surge := source.plan.Surge
	if surge.Organisation == source.organisation.Name && elapsed >= surge.From && elapsed < surge.Until {
		rate *= surge.Factor
	}
	return time.Duration(source.random.ExpFloat64() / rate * float64(time.Second))
}

func (source *source) draw(elapsed time.Duration) request {
	drawn := request{
		id:           source.next,
		kind:         source.kind(),
		organisation: source.organisation,
		promptTokens: source.between(source.plan.PromptTokens),
		maxTokens:    source.between(source.plan.MaxTokens),
	}
	source.next += len(source.plan.Organisations)
	drawn.repeat = drawn.kind == Booking && source.random.Float64() < source.plan.RepeatFraction
	rank := int(source.zipf.Uint64())
	if source.plan.PopularityShiftAfter > 0 && elapsed >= source.plan.PopularityShiftAfter {
		rank = (rank + source.organisation.AdapterCount/2) % source.organisation.AdapterCount
	}
	drawn.adapter = AdapterName(source.organisation.Name, rank)
	drawn.prompt = promptText(drawn.id, drawn.promptTokens)
	return drawn
}

func (source *source) kind() Kind {
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

func (source *source) between(limits [2]int) int {
	return limits[0] + source.random.IntN(limits[1]-limits[0]+1)
}

// bytesPerToken is the ratio by which entry instances estimate prompt tokens.
const bytesPerToken = 4

// promptText returns a prompt of the given estimated length that differs for
// each request.
func promptText(id, tokens int) string {
	text := fmt.Sprintf("request %d: ", id)
	for len(text) < tokens*bytesPerToken {
		text += "describe the bench "
	}
	return text[:tokens*bytesPerToken]
}
