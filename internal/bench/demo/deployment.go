// Package demo runs a whole deployment on stand-ins: entry instances, side
// processes, engines, plain services and the platform, with a seeded load.
package demo

import (
	"fmt"
	"time"

	"jacinthfront.dev/jacinthfront/internal/bench/reqgen"
	"jacinthfront.dev/jacinthfront/internal/state/conf"
)

// Deployment describes one of the users' deployments.
type Deployment struct {
	Name           string
	FailureDomains []string
	// DomainDelay is the one-way delay between failure domains.
	DomainDelay    time.Duration
	ModelService   string
	Engines        int
	PlainService   string
	PlainUpstreams int
	// LoadRate is the weight store's loads per second.
	LoadRate float64
	Adapters int
	// RequestRate is the steady load in requests per second.
	RequestRate float64
	Mix         [4]float64
	// Skew is the exponent of the Zipf distribution of each organisation's
	// adapters.
	Skew float64
	// Weights splits the load among the organisations.
	Weights []float64
}

// Bonsai returns the deployment of Tatranská Dielňa Stolov.
func Bonsai() Deployment {
	return Deployment{
		Name:           "bonsai",
		FailureDomains: []string{"zilina-a", "zilina-b", "zilina-c", "zilina-d"},
		DomainDelay:    time.Millisecond,
		ModelService:   "advisor",
		Engines:        12,
		PlainService:   "counter",
		PlainUpstreams: 4,
		LoadRate:       3,
		Adapters:       3000,
		RequestRate:    45,
		Mix:            [4]float64{0.4, 0.15, 0.15, 0.3},
		Skew:           skew,
		Weights:        []float64{0.4, 0.3, 0.15, 0.1, 0.05},
	}
}

// Gourd returns the deployment of Kalamaki Gourd Works.
func Gourd() Deployment {
	return Deployment{
		Name:           "gourd",
		FailureDomains: []string{"attica-a", "attica-b", "attica-c"},
		DomainDelay:    500 * time.Microsecond,
		ModelService:   "scribe-models",
		Engines:        9,
		PlainService:   "ledger-app",
		PlainUpstreams: 3,
		LoadRate:       2,
		Adapters:       3000,
		RequestRate:    32,
		Mix:            [4]float64{0.5, 0.1, 0.1, 0.3},
		Skew:           skew,
		Weights:        []float64{0.4, 0.3, 0.15, 0.1, 0.05},
	}
}

// ByName returns a deployment by its name.
func ByName(name string) (Deployment, error) {
	for _, deployment := range []Deployment{Bonsai(), Gourd()} {
		if deployment.Name == name {
			return deployment, nil
		}
	}
	return Deployment{}, fmt.Errorf("no deployment %q; write bonsai or gourd", name)
}

const (
	// skew makes the steady load one that the weight store can serve: with the
	// most popular adapters in all slots, the others need about half of the
	// store's loads. At 1.4, they need one and a half times all of them, and the
	// queues grow under any policy.
	skew = 1.8
	// meanCost is the mean reservation of a model request in tokens.
	meanCost  = 170
	plainCost = 10
	// headroom is the ratio of an organisation's rate to its steady load.
	headroom = 1.6
	// burstTime is the burst in seconds of the rate.
	burstTime  = 5
	leastBurst = 4000
)

// modelShare returns the part of the load that runs on adapters.
func (deployment Deployment) modelShare() float64 {
	total := 0.0
	for _, weight := range deployment.Mix {
		total += weight
	}
	return (deployment.Mix[reqgen.Letter] + deployment.Mix[reqgen.Chat]) / total
}

func (deployment Deployment) organisations() []reqgen.Organisation {
	var organisations []reqgen.Organisation
	for index, weight := range deployment.Weights {
		requests := deployment.RequestRate * weight
		share := deployment.modelShare()
		tokens := requests * (share*meanCost + (1-share)*plainCost)
		rate := conf.Tokens(tokens*headroom) + 1
		organisations = append(organisations, reqgen.Organisation{
			Name:         fmt.Sprintf("organisation-%d", index+1),
			Rate:         rate,
			Burst:        max(rate*burstTime, leastBurst),
			RequestRate:  requests,
			AdapterCount: deployment.Adapters / len(deployment.Weights),
		})
	}
	return organisations
}

// Plan returns the steady load of the deployment. The keys are still empty.
func (deployment Deployment) Plan() reqgen.Plan {
	return reqgen.Plan{
		ModelService:   deployment.ModelService,
		PlainService:   deployment.PlainService,
		Organisations:  deployment.organisations(),
		KindWeights:    deployment.Mix,
		ZipfExponent:   deployment.Skew,
		PromptTokens:   [2]int{60, 160},
		MaxTokens:      [2]int{20, 100},
		RepeatFraction: 0.2,
	}
}
