package chaos

import (
	"encoding/json"
	"time"

	"jacinthfront.dev/jacinthfront/internal/bench/engsim"
	"jacinthfront.dev/jacinthfront/internal/bench/infra"
	"jacinthfront.dev/jacinthfront/internal/bench/plain"
	config "jacinthfront.dev/jacinthfront/internal/state/conf"
	"jacinthfront.dev/jacinthfront/internal/state/patch"
	"jacinthfront.dev/jacinthfront/internal/wire/codec"
)

// version is one accepted patch.
type version struct {
	number   uint64
	patch    patch.Patch
	at       time.Time
	raceWait time.Duration
}

// foldNaively returns the accepted patches of the log in order. All patches of
// the schedules are valid, so only their ids and bases decide.
func foldNaively(records []infra.Record) []version {
	var versions []version
	seen := map[string]bool{}
	raceWait := time.Duration(0)
	for _, record := range records {
		decoded, err := codec.DecodeRecord(record.Data)
		if err != nil || decoded.Patch == nil || seen[decoded.Patch.ID] {
			continue
		}
		seen[decoded.Patch.ID] = true
		if decoded.Patch.BaseVersion != uint64(len(versions)) {
			continue
		}
		for _, op := range decoded.Patch.Ops {
			if put, ok := op.(patch.PutRoute); ok && put.Route.Name == raceRoute {
				raceWait = put.Route.MaxWait
			}
		}
		versions = append(versions, version{uint64(len(versions) + 1), *decoded.Patch, record.Time, raceWait})
	}
	return versions
}

// naiveShares reports whether work of one half may run at the other.
func naiveShares(asked, served config.Half) bool {
	return asked == "" || served == "" || asked == served
}

// find returns the accepted version with an operation that matches.
func find[T patch.Op](versions []version, match func(T) bool) (version, T, bool) {
	for _, version := range versions {
		if version.number == 1 {
			continue
		}
		for _, op := range version.patch.Ops {
			if typed, ok := op.(T); ok && match(typed) {
				return version, typed, true
			}
		}
	}
	var none T
	return version{}, none, false
}

// naiveAnswer returns the text and the finish reason that a single process
// without failures answers with.
func naiveAnswer(request Request, adapter string, version uint32) (text, finish string) {
	if !request.Kind.Model() {
		method, _, body := request.encode()
		return plain.Result(method, request.path(), body), ""
	}
	prompt := request.prompt()
	if request.Kind == Chat {
		prompt = engsim.ChatPrompt(request.messages())
	}
	_, finish = engsim.AnswerLength(adapter, version, prompt, request.maxTokens())
	return engsim.AnswerText(adapter, version, prompt, request.maxTokens()), finish
}

// plainResult returns the result in a plain service's answer.
func plainResult(body string) string {
	var reply plain.Response
	if err := json.Unmarshal([]byte(body), &reply); err != nil {
		return "unreadable: " + body
	}
	return reply.Result
}

// dispatch is what an upstream received for one request.
type dispatch struct {
	request      Request
	known        bool
	upstream     int
	at           time.Time
	id           string
	organisation string
	adapter      string
	version      uint32
	tokens       int64
	resumed      bool
	effect       bool
}

// dispatches returns all that upstreams received.
func (world *world) dispatches() []dispatch {
	var all []dispatch
	for index, engine := range world.engines {
		for _, start := range engine.Observed().AcceptedRequests {
			found := dispatch{
				upstream: index, at: start.Accepted, id: start.RequestID, organisation: start.Organisation,
				adapter: start.Adapter, version: start.Version, tokens: start.PromptTokens + start.GeneratedTokens, effect: true,
			}
			if start.ResumedFrom > 0 {
				// The prompt was counted when the request began.
				found.resumed, found.effect, found.tokens = true, false, start.GeneratedTokens
			}
			found.request, found.known = world.request(func(request Request) bool {
				return request.Kind.Model() && request.maxTokens() == start.MaxTokens
			})
			all = append(all, found)
		}
	}
	for index, service := range world.services {
		for _, call := range service.Observed().Calls {
			found := dispatch{
				upstream: engineCount + index, at: call.Time, id: call.RequestID, organisation: call.Organisation,
				tokens: plainCost, effect: call.Effect,
			}
			found.request, found.known = world.request(func(request Request) bool {
				return !request.Kind.Model() && request.path() == call.Path
			})
			all = append(all, found)
		}
	}
	return all
}

func (world *world) request(match func(Request) bool) (Request, bool) {
	for _, request := range world.schedule.Requests {
		if match(request) {
			return request, true
		}
	}
	return Request{}, false
}

// excess returns the largest amount by which the tokens of any interval exceed
// rate × length + burst, by trying every interval between two dispatches.
func excess(dispatches []dispatch, rate, burst config.Tokens) float64 {
	largest := 0.0
	for _, first := range dispatches {
		for _, last := range dispatches {
			if last.at.Before(first.at) {
				continue
			}
			sum := int64(0)
			for _, other := range dispatches {
				if !other.at.Before(first.at) && !other.at.After(last.at) {
					sum += other.tokens
				}
			}
			largest = max(largest, float64(sum)-float64(rate)*last.at.Sub(first.at).Seconds()-float64(burst))
		}
	}
	return largest
}
