package quota

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"jacinthfront.dev/jacinthfront/internal/state/conf"
)

var fullComparison = flag.Bool("compare", false, "run TestComparison over 20 min with a log outage of 10 min")

// deployment is one of the two deployments of the design page, each with five
// organisations.
type deployment struct {
	name      string
	processes int
	latency   time.Duration
	rates     []conf.Tokens
}

var deployments = []deployment{
	{"bonsai", 16, time.Millisecond, []conf.Tokens{2400, 1500, 1200, 600, 300}},
	{"gourd", 12, 500 * time.Microsecond, []conf.Tokens{2000, 1200, 900, 450, 250}},
}

// overloading is the organisation whose demand is five times its rate.
const overloading = 1

type variant struct {
	name  string
	build func(schedule, *platformLog) *cluster
}

var variants = []variant{
	{"static division", func(schedule schedule, _ *platformLog) *cluster { return newStaticDivision(schedule) }},
	{"one owner, log lease", newSingleOwner},
	{"draws on the log", newLoggedBucket},
	{"shards", func(schedule schedule, _ *platformLog) *cluster { return newCluster(schedule, nil) }},
}

// organisationSchedule returns the schedule of one organisation. Every minute a
// side process is killed and replaced after 3 s.
func (deployment deployment) organisationSchedule(organisation int, duration time.Duration) schedule {
	rate := deployment.rates[organisation]
	schedule := schedule{
		seed: uint64(organisation), duration: duration, processes: deployment.processes, shards: 8,
		rate: rate, burst: 4 * rate, latency: deployment.latency,
		maxWait: 5 * time.Second, demand: 0.7,
	}
	if organisation == overloading {
		schedule.demand = 5
	}
	random := rand.New(rand.NewPCG(uint64(organisation), 4))
	schedule.addRequests(random, duration, float64(rate)/200)
	for at := 20 * time.Second; at < duration; at += time.Minute {
		schedule.faults = append(schedule.faults, injectedFault{
			at: at, kind: kill, process: len(schedule.faults) % deployment.processes, length: 3 * time.Second,
		})
	}
	return schedule
}

// result is one row of the comparison.
type result struct {
	excess            nanoTokens
	wrongful, offered int
	addedWaits        []time.Duration
	messages, appends int
	used              conf.Tokens
}

// Guards against shards being worse than simpler designs: use above the bound, or
// more wrongful refusals of organisations within their rate than a static division
// has. It prints the comparison as a table; the full one needs
// "go test -run TestComparison -v ./internal/flow/quota -compare".
func TestComparison(t *testing.T) {
	duration, outage := 2*time.Minute, time.Minute
	if *fullComparison {
		duration, outage = 20*time.Minute, 10*time.Minute
	}
	results := make([][]result, len(deployments))
	t.Run("runs", func(t *testing.T) {
		for row, deployment := range deployments {
			results[row] = make([]result, len(variants))
			for column, variant := range variants {
				t.Run(deployment.name+"/"+variant.name, func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(*testing.T) {
						results[row][column] = deployment.runVariant(variant, duration, outage)
					})
				})
			}
		}
	})
	t.Log("\n" + table(results, duration))
	for row, deployment := range deployments {
		static, shards := results[row][0], results[row][len(variants)-1]
		if shards.excess > 0 {
			t.Errorf("%s: excess of %d billionths of a token", deployment.name, shards.excess)
		}
		if shards.wrongful > static.wrongful {
			t.Errorf("%s: %d wrongful refusals, static division has %d", deployment.name, shards.wrongful, static.wrongful)
		}
	}
}

// runVariant runs all organisations of a deployment side by side.
func (deployment deployment) runVariant(variant variant, duration, outage time.Duration) result {
	begin := time.Now()
	platformLog := &platformLog{rate: 300, outageStart: begin.Add(duration / 4), outageEnd: begin.Add(duration/4 + outage)}
	var clusters, references []*cluster
	var group sync.WaitGroup
	for organisation := range deployment.rates {
		schedule := deployment.organisationSchedule(organisation, duration)
		clusters = append(clusters, variant.build(schedule, platformLog))
		references = append(references, newGlobalBucket(schedule))
		group.Go(clusters[organisation].run)
		group.Go(references[organisation].run)
	}
	group.Wait()
	synctest.Wait()
	result := result{excess: -nanoTokens(maxBurst) * nanosPerToken, appends: platformLog.appends}
	for organisation, cluster := range clusters {
		result.excess = max(result.excess, cluster.boundChecker.excess())
		result.messages += cluster.messages
		if organisation == overloading {
			result.used = cluster.boundChecker.used()
			continue
		}
		result.compare(references[organisation], cluster)
	}
	slices.Sort(result.addedWaits)
	return result
}

// compare adds the wrongful refusals and added waits of one organisation relative
// to a global bucket.
func (result *result) compare(reference, cluster *cluster) {
	served := map[request]time.Duration{}
	for _, outcome := range reference.outcomes {
		if outcome.served {
			served[outcome.request] = outcome.wait
		}
	}
	for _, outcome := range cluster.outcomes {
		result.offered++
		wait, ok := served[outcome.request]
		switch {
		case ok && !outcome.served:
			result.wrongful++
		case ok:
			result.addedWaits = append(result.addedWaits, outcome.wait-wait)
		}
	}
}

func table(results [][]result, duration time.Duration) string {
	var lines strings.Builder
	fmt.Fprintf(&lines, "%-8s %-22s %14s %20s %14s %14s %11s %10s %12s\n", "", "", "excess, tokens",
		"wrongful per 10,000", "p50 added wait", "p99 added wait", "messages/s", "appends/s", "5x: used/s")
	for row, deployment := range deployments {
		for column, variant := range variants {
			result := results[row][column]
			seconds := duration.Seconds()
			fmt.Fprintf(&lines, "%-8s %-22s %14.1f %20.1f %14v %14v %11.1f %10.2f %7.0f/%d\n", deployment.name, variant.name,
				float64(result.excess)/float64(nanosPerToken),
				float64(result.wrongful)*10000/float64(result.offered),
				quantile(result.addedWaits, 0.5), quantile(result.addedWaits, 0.99),
				float64(result.messages)/seconds, float64(result.appends)/seconds,
				float64(result.used)/seconds, deployment.rates[overloading])
		}
	}
	return lines.String()
}

func quantile(sorted []time.Duration, part float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(part*float64(len(sorted)-1))].Round(100 * time.Microsecond)
}
