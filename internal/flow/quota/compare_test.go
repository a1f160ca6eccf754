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

	"jacinthfront.dev/jacinthfront/internal/state/model"
)

var full = flag.Bool("compare", false, "run TestComparison over 20 min with a log outage of 10 min")

// deployment is one of the design page's, with five organisations.
type deployment struct {
	name      string
	processes int
	latency   time.Duration
	rates     []model.Tokens
}

var deployments = []deployment{
	{"bonsai", 16, time.Millisecond, []model.Tokens{2400, 1500, 1200, 600, 300}},
	{"gourd", 12, 500 * time.Microsecond, []model.Tokens{2000, 1200, 900, 450, 250}},
}

// greedy is the organisation that demands five times its rate.
const greedy = 1

type variant struct {
	name  string
	build func(schedule, *logbook) *cluster
}

var variants = []variant{
	{"static division", func(schedule schedule, _ *logbook) *cluster { return newStatic(schedule) }},
	{"one owner, log lease", newOwned},
	{"draws on the log", newRecorded},
	{"shards", func(schedule schedule, _ *logbook) *cluster { return newCluster(schedule, nil) }},
}

// plan returns the schedule of one organisation. Every minute a side process is
// killed and replaced after 3 s.
func (deployment deployment) plan(organisation int, span time.Duration) schedule {
	rate := deployment.rates[organisation]
	schedule := schedule{
		seed: uint64(organisation), span: span, processes: deployment.processes, shards: 8,
		rate: rate, burst: 4 * rate, latency: deployment.latency,
		longestWait: 5 * time.Second, demand: 0.7,
	}
	if organisation == greedy {
		schedule.demand = 5
	}
	random := rand.New(rand.NewPCG(uint64(organisation), 4))
	schedule.offer(random, span, float64(rate)/200)
	for at := 20 * time.Second; at < span; at += time.Minute {
		schedule.disturbances = append(schedule.disturbances, disturbance{
			at: at, kind: kill, process: len(schedule.disturbances) % deployment.processes, length: 3 * time.Second,
		})
	}
	return schedule
}

// result is one row of the comparison.
type result struct {
	excess            nanos
	wrongful, offered int
	added             []time.Duration
	messages, appends int
	used              model.Tokens
}

// Guards against the design being worse than the simple ones: an excess, or
// more wrongful refusals of organisations within their rate than a static
// division has. It prints the table of the comparison; the full one needs
// "go test -run TestComparison -v ./internal/flow/quota -compare".
func TestComparison(t *testing.T) {
	span, outage := 2*time.Minute, time.Minute
	if *full {
		span, outage = 20*time.Minute, 10*time.Minute
	}
	results := make([][]result, len(deployments))
	t.Run("runs", func(t *testing.T) {
		for place, deployment := range deployments {
			results[place] = make([]result, len(variants))
			for column, variant := range variants {
				t.Run(deployment.name+"/"+variant.name, func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(*testing.T) {
						results[place][column] = deployment.play(variant, span, outage)
					})
				})
			}
		}
	})
	t.Log("\n" + table(results, span))
	for place, deployment := range deployments {
		static, shards := results[place][0], results[place][len(variants)-1]
		if shards.excess > 0 {
			t.Errorf("%s: excess of %d billionths of a token", deployment.name, shards.excess)
		}
		if shards.wrongful > static.wrongful {
			t.Errorf("%s: %d wrongful refusals, static division has %d", deployment.name, shards.wrongful, static.wrongful)
		}
	}
}

// play runs all organisations of a deployment side by side.
func (deployment deployment) play(variant variant, span, outage time.Duration) result {
	begin := time.Now()
	logbook := &logbook{rate: 300, from: begin.Add(span / 4), until: begin.Add(span/4 + outage)}
	var clusters, references []*cluster
	var group sync.WaitGroup
	for organisation := range deployment.rates {
		schedule := deployment.plan(organisation, span)
		clusters = append(clusters, variant.build(schedule, logbook))
		references = append(references, newReference(schedule))
		group.Go(clusters[organisation].run)
		group.Go(references[organisation].run)
	}
	group.Wait()
	synctest.Wait()
	result := result{excess: -nanos(maxBurst) * perToken, appends: logbook.appends}
	for organisation, cluster := range clusters {
		result.excess = max(result.excess, cluster.observer.excess())
		result.messages += cluster.messages
		if organisation == greedy {
			result.used = cluster.observer.used()
			continue
		}
		result.compare(references[organisation], cluster)
	}
	slices.Sort(result.added)
	return result
}

// compare adds what one organisation suffered beyond a global bucket.
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
			result.added = append(result.added, outcome.wait-wait)
		}
	}
}

func table(results [][]result, span time.Duration) string {
	var lines strings.Builder
	fmt.Fprintf(&lines, "%-8s %-22s %14s %20s %14s %14s %11s %10s %12s\n", "", "", "excess, tokens",
		"wrongful per 10,000", "p50 added wait", "p99 added wait", "messages/s", "appends/s", "5x: used/s")
	for place, deployment := range deployments {
		for column, variant := range variants {
			result := results[place][column]
			seconds := span.Seconds()
			fmt.Fprintf(&lines, "%-8s %-22s %14.1f %20.1f %14v %14v %11.1f %10.2f %7.0f/%d\n", deployment.name, variant.name,
				float64(result.excess)/float64(perToken),
				float64(result.wrongful)*10000/float64(result.offered),
				quantile(result.added, 0.5), quantile(result.added, 0.99),
				float64(result.messages)/seconds, float64(result.appends)/seconds,
				float64(result.used)/seconds, deployment.rates[greedy])
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
