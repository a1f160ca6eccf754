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

// version is a configuration version and the accepted patch that made it.
type version struct {
	number uint64
	patch  patch.Patch
	at     time.Time
	// contendedMaxWait is the contended route's MaxWait in this version.
	contendedMaxWait time.Duration
}

// referenceReplay returns the accepted patches of the log in order. All patches of
// the schedules are valid, so acceptance depends only on their ids and base
// versions: the first record with an id counts, and its base must be the current
// version.
func referenceReplay(records []infra.Record) []version {
	var versions []version
	seen := map[string]bool{}
	contendedMaxWait := time.Duration(0)
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
			if put, ok := op.(patch.PutRoute); ok && put.Route.Name == contendedRoute {
				contendedMaxWait = put.Route.MaxWait
			}
		}
		versions = append(versions, version{uint64(len(versions) + 1), *decoded.Patch, record.Time, contendedMaxWait})
	}
	return versions
}

// mayRunInHalf reports whether a request of one half may run at an upstream of
// another. An empty half matches every half.
func mayRunInHalf(asked, served config.Half) bool {
	return asked == "" || served == "" || asked == served
}

// findVersion returns the first accepted version after the initial one with a
// matching operation.
func findVersion[T patch.Op](versions []version, match func(T) bool) (version, T, bool) {
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

// referenceResponse returns the text and the finish reason of the response that a
// single process gives in the absence of failures.
func referenceResponse(request Request, adapter string, version uint32) (text, finish string) {
	if !request.Kind.UsesAdapter() {
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

// plainResult returns the result in a response of the plain service.
func plainResult(body string) string {
	var reply plain.Response
	if err := json.Unmarshal([]byte(body), &reply); err != nil {
		return "unreadable: " + body
	}
	return reply.Result
}

// dispatch is a request as an upstream received it.
type dispatch struct {
	request Request
	// known says that a request of the schedule was found.
	known        bool
	upstream     int
	at           time.Time
	id           string
	organisation string
	adapter      string
	version      uint32
	tokens       int64
	// resumed says that the upstream continued a response of an earlier dispatch.
	resumed bool
	// effect says that the upstream ran the request.
	effect bool
}

// dispatches returns all requests that upstreams received.
func (deployment *deployment) dispatches() []dispatch {
	var all []dispatch
	for index, engine := range deployment.engines {
		for _, start := range engine.Observed().AcceptedRequests {
			found := dispatch{
				upstream: index, at: start.Accepted, id: start.RequestID, organisation: start.Organisation,
				adapter: start.Adapter, version: start.Version, tokens: start.PromptTokens + start.GeneratedTokens, effect: true,
			}
			if start.ResumedFrom > 0 {
				// The prompt's tokens were counted in the first dispatch.
				found.resumed, found.effect, found.tokens = true, false, start.GeneratedTokens
			}
			found.request, found.known = deployment.findRequest(func(request Request) bool {
				return request.Kind.UsesAdapter() && request.maxTokens() == start.MaxTokens
			})
			all = append(all, found)
		}
	}
	for index, service := range deployment.services {
		for _, call := range service.Observed().Calls {
			found := dispatch{
				upstream: engineCount + index, at: call.Time, id: call.RequestID, organisation: call.Organisation,
				tokens: plainCost, effect: call.Effect,
			}
			found.request, found.known = deployment.findRequest(func(request Request) bool {
				return !request.Kind.UsesAdapter() && request.path() == call.Path
			})
			all = append(all, found)
		}
	}
	return all
}

func (deployment *deployment) findRequest(match func(Request) bool) (Request, bool) {
	for _, request := range deployment.schedule.Requests {
		if match(request) {
			return request, true
		}
	}
	return Request{}, false
}

// excessTokens returns the largest number of tokens by which the dispatches of any
// interval exceed rate × duration + burst, by trying every interval between two
// dispatches. It returns 0 if none exceeds that.
func excessTokens(dispatches []dispatch, rate, burst config.Tokens) float64 {
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
