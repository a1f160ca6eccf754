// Package demo runs a whole deployment in one process: entry instances and side
// processes against simulators of the engines, the plain services and the platform,
// under a seeded load. It checks invariants and computes measures from what the
// simulators and the callers observe.
package demo

import (
	"fmt"
	"time"

	"jacinthfront.dev/jacinthfront/internal/bench/reqgen"
	"jacinthfront.dev/jacinthfront/internal/state/conf"
)

// Deployment describes the size and the load of a user's deployment.
type Deployment struct {
	Name           string
	FailureDomains []string
	// DomainDelay is the one-way delay between failure domains.
	DomainDelay    time.Duration
	ModelService   string
	Engines        int
	PlainService   string
	PlainUpstreams int
	// LoadRate is the number of adapter loads per second that the weight store
	// starts.
	LoadRate float64
	Adapters int
	// RequestRate is the steady load in requests per second.
	RequestRate float64
	KindWeights [4]float64
	// ZipfExponent is the exponent of the Zipf distribution of requests over each
	// organisation's adapters.
	ZipfExponent float64
	// OrganisationWeights holds each organisation's fraction of RequestRate.
	OrganisationWeights []float64
}

// Bonsai returns the deployment of Tatranská Dielňa Stolov.
func Bonsai() Deployment {
	return Deployment{
		Name:                "bonsai",
		FailureDomains:      []string{"zilina-a", "zilina-b", "zilina-c", "zilina-d"},
		DomainDelay:         time.Millisecond,
		ModelService:        "advisor",
		Engines:             12,
		PlainService:        "counter",
		PlainUpstreams:      4,
		LoadRate:            3,
		Adapters:            3000,
		RequestRate:         45,
		KindWeights:         [4]float64{0.4, 0.15, 0.15, 0.3},
		ZipfExponent:        adapterSkew,
		OrganisationWeights: []float64{0.4, 0.3, 0.15, 0.1, 0.05},
	}
}

// Gourd returns the deployment of Kalamaki Gourd Works.
func Gourd() Deployment {
	return Deployment{
		Name:                "gourd",
		FailureDomains:      []string{"attica-a", "attica-b", "attica-c"},
		DomainDelay:         500 * time.Microsecond,
		ModelService:        "scribe-models",
		Engines:             9,
		PlainService:        "ledger-app",
		PlainUpstreams:      3,
		LoadRate:            2,
		Adapters:            3000,
		RequestRate:         32,
		KindWeights:         [4]float64{0.5, 0.1, 0.1, 0.3},
		ZipfExponent:        adapterSkew,
		OrganisationWeights: []float64{0.4, 0.3, 0.15, 0.1, 0.05},
	}
}

// ByName returns the deployment with a name, or an error if there is none.
func ByName(name string) (Deployment, error) {
	for _, deployment := range []Deployment{Bonsai(), Gourd()} {
		if deployment.Name == name {
			return deployment, nil
		}
	}
	return Deployment{}, fmt.Errorf("no deployment %q; write bonsai or gourd", name)
}

const (
	// adapterSkew is an exponent at which the weight store can sustain the steady
	// load: while all slots hold the most popular adapters, the others need about
	// half of the store's load rate. At 1.4 they need one and a half times the
	// load rate, and the queues grow under any policy.
	adapterSkew = 1.8
	// meanModelCost is the mean reservation of a model request in tokens.
	meanModelCost = 170
	plainCost     = 10
	// rateHeadroom is the ratio of an organisation's token rate to its steady load.
	rateHeadroom = 1.6
	// burstSeconds is the burst as a multiple of the tokens of one second.
	burstSeconds = 5
	minBurst     = 4000
)

// modelFraction returns the fraction of requests that run on adapters.
func (deployment Deployment) modelFraction() float64 {
	total := 0.0
	for _, weight := range deployment.KindWeights {
		total += weight
	}
	return (deployment.KindWeights[reqgen.Letter] + deployment.KindWeights[reqgen.Chat]) / total
}

// organisations returns the organisations with rates that their steady load does
// not exceed.
func (deployment Deployment) organisations() []reqgen.Organisation {
	var organisations []reqgen.Organisation
	for index, weight := range deployment.OrganisationWeights {
		requests := deployment.RequestRate * weight
		fraction := deployment.modelFraction()
		tokens := requests * (fraction*meanModelCost + (1-fraction)*plainCost)
		rate := conf.Tokens(tokens*rateHeadroom) + 1
		organisations = append(organisations, reqgen.Organisation{
			Name:         fmt.Sprintf("organisation-%d", index+1),
			Rate:         rate,
			Burst:        max(rate*burstSeconds, minBurst),
			RequestRate:  requests,
			AdapterCount: deployment.Adapters / len(deployment.OrganisationWeights),
		})
	}
	return organisations
}

// Plan returns the steady load of the deployment. The organisations' keys are
// empty until initialPatches sets them.
func (deployment Deployment) Plan() reqgen.Plan {
	return reqgen.Plan{
		ModelService:   deployment.ModelService,
		PlainService:   deployment.PlainService,
		Organisations:  deployment.organisations(),
		KindWeights:    deployment.KindWeights,
		ZipfExponent:   deployment.ZipfExponent,
		PromptTokens:   [2]int{60, 160},
		MaxTokens:      [2]int{20, 100},
		RepeatFraction: 0.2,
	}
}
