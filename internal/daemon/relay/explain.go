package relay

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"slices"
	"time"

	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/flow/permit"
	"jacinthfront.dev/jacinthfront/internal/flow/picker"
	"jacinthfront.dev/jacinthfront/internal/state/routes"
)

// ExplainPath is the path on the metrics listener that explains a request described by the
// query string.
const ExplainPath = "/explain"

// explainedNumber is the number of an explained request. It comes after all that wait.
const explainedNumber = math.MaxUint64

// withExplain returns a handler that serves ExplainPath, and the rest by another handler.
func (relay *Relay) withExplain(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path != ExplainPath {
			next.ServeHTTP(writer, request)
			return
		}
		relay.serveExplain(writer, request)
	})
}

func (relay *Relay) serveExplain(writer http.ResponseWriter, request *http.Request) {
	began := time.Now()
	status, answer := relay.answerExplain(request)
	relay.metrics.increment(fmt.Sprintf("explain-%d", status))
	fields := []zap.Field{zap.Int("status", status), zap.Duration("took", time.Since(began))}
	if explanation, ok := answer.(Explanation); ok {
		fields = append(fields, zap.String("route", explanation.Route), zap.String("service", explanation.Service),
			zap.String("organisation", explanation.Organisation), zap.Strings("why", explanation.Why))
	}
	relay.config.Logger.Info("explain: request explained", fields...)
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(answer)
}

func (relay *Relay) answerExplain(request *http.Request) (status int, answer any) {
	if request.Method != http.MethodGet {
		return http.StatusMethodNotAllowed, ExplainError{"only GET is served"}
	}
	if len(request.URL.RawQuery) > maxQueryBytes {
		return http.StatusRequestURITooLong, ExplainError{"the query string is too long"}
	}
	query, err := ParseQuery(request.URL.Query())
	if err != nil {
		return http.StatusBadRequest, ExplainError{err.Error()}
	}
	explanation, refused := relay.explain(query)
	if refused != nil {
		return refused.status, ExplainError{refused.reason}
	}
	return http.StatusOK, explanation
}

// explain explains a request. It returns a refusal if the description fits nothing in the
// configuration.
func (relay *Relay) explain(query Query) (Explanation, *refusal) {
	config := relay.store.config()
	if config == nil {
		return Explanation{}, unconfiguredRefusal()
	}
	confirmed := relay.configConfirmed()
	route, ok := findRoute(config, query)
	if !ok {
		refused := noRouteRefusal(confirmed)
		refused.reason = fmt.Sprintf("%s in configuration version %d (route %q, host %q, path %q)", refused.reason, config.Version(), query.Route, query.Host, query.Path)
		return Explanation{}, refused
	}
	if query.Service != "" && !route.Names(query.Service) {
		return Explanation{}, &refusal{status: http.StatusNotFound, reason: fmt.Sprintf("route %s sends nothing to service %q", route.Name, query.Service)}
	}
	proxyRequest := relay.describedRequest(route, query)
	refused, unknown := proxyRequest.setExplainedOrganisation(config, query.Organisation, confirmed)
	if unknown != nil {
		return Explanation{}, unknown
	}
	explanation := Explanation{
		ConfigVersion: config.Version(), ConfigAge: inMilliseconds(relay.configAge()), Route: route.Name, Services: servicesOf(route),
		Organisation: proxyRequest.organisationName(), Timeout: inMilliseconds(proxyRequest.timeout()), Refusal: explainRefusal(refused, 0),
	}
	name := cmp.Or(query.Service, likeliestService(route))
	if proxyRequest.service, ok = config.Service(name); ok {
		explanation.Service = name
		proxyRequest.explainCharge(&explanation)
		proxyRequest.explainChoice(&explanation)
	} else {
		explanation.refuse(noServiceRefusal(), 0)
	}
	explanation.Why = explanation.reasons(route)
	return explanation, nil
}

// describedRequest returns a request that has just come, as described.
func (relay *Relay) describedRequest(route *routes.Route, query Query) *proxyRequest {
	now := time.Now()
	described := &proxyRequest{relay: relay, route: route, started: now, readAt: now, info: RequestInfo{
		Timeout: query.Timeout, Model: query.Model, Adapter: query.Adapter, PromptTokens: query.PromptTokens,
		MaxOutputTokens: query.OutputTokens, HasTokenCounts: query.PromptTokens+query.OutputTokens > 0,
	}}
	described.deadline = now.Add(described.timeout())
	described.setTypicalLatencies()
	return described
}

func findRoute(config *routes.Table, query Query) (*routes.Route, bool) {
	if query.Route == "" {
		return config.Match(hostOnly(query.Host), query.Path)
	}
	list := config.Routes()
	index := slices.IndexFunc(list, func(route routes.Route) bool { return route.Name == query.Route })
	if index < 0 {
		return nil, false
	}
	return &list[index], true
}

// servicesOf returns the services of a route with their parts of the requests.
func servicesOf(route *routes.Route) []ExplainedPart {
	var total float64
	for _, weighted := range route.Services {
		total += weighted.Weight
	}
	parts := make([]ExplainedPart, 0, len(route.Services))
	for _, weighted := range route.Services {
		part := ExplainedPart{Service: weighted.Service}
		if total > 0 {
			part.Part = weighted.Weight / total
		}
		parts = append(parts, part)
	}
	return parts
}

// likeliestService returns the service that gets most of a route's requests, or "".
func likeliestService(route *routes.Route) string {
	if len(route.Services) == 0 {
		return ""
	}
	return slices.MaxFunc(route.Services, func(a, b routes.WeightedService) int { return cmp.Compare(a.Weight, b.Weight) }).Service
}

// setExplainedOrganisation sets the organisation with a name. It returns the refusal that the
// request would get for its key, and one if there is no such organisation.
func (proxyRequest *proxyRequest) setExplainedOrganisation(config *routes.Table, name string, confirmed bool) (refused, unknown *refusal) {
	var organisation *routes.Organisation
	if name != "" {
		list := config.Organisations()
		index := slices.IndexFunc(list, func(organisation routes.Organisation) bool { return organisation.Name == name })
		if index < 0 {
			return nil, &refusal{status: http.StatusNotFound, reason: fmt.Sprintf("no organisation %q in configuration version %d", name, config.Version())}
		}
		organisation = &list[index]
	}
	if proxyRequest.route.Open {
		return nil, nil
	}
	proxyRequest.organisation = organisation
	return keyRefusal(confirmed, organisation), nil
}

// explainCharge explains whether the organisation's rate lets the request through.
func (proxyRequest *proxyRequest) explainCharge(explanation *Explanation) {
	if proxyRequest.organisation == nil || proxyRequest.organisation.Rate <= 0 {
		return
	}
	proxyRequest.waitClass = proxyRequest.relay.classOf(proxyRequest.route)
	limit := proxyRequest.limit()
	examined := proxyRequest.relay.limiter.Examine(proxyRequest.organisation.Name, limit, proxyRequest.bucketRequest())
	denial := examined.Denial
	explanation.Rate = &ExplainedRate{
		Rate: limit.Rate, Burst: limit.Burst, Cost: proxyRequest.cost(), Level: examined.Status.Level, Part: examined.Status.Fraction,
		Reserve: denial.Reserve, Wait: inMilliseconds(denial.Wait), Admitted: examined.Admitted,
	}
	if !examined.Admitted && denial.Wait >= proxyRequest.chargeWait() {
		explanation.refuse(proxyRequest.rateRefusal(denial), 0)
	}
}

// explainChoice explains the choice among the service's upstreams.
func (proxyRequest *proxyRequest) explainChoice(explanation *Explanation) {
	relay, requirements := proxyRequest.relay, proxyRequest.requirements()
	requirements.Number = explainedNumber
	explanation.Adapter, explanation.AdapterVersion = requirements.Adapter.Name, requirements.Adapter.Version
	if requirements.Engine {
		explanation.Order = &ExplainedOrder{
			Class: proxyRequest.presentClass().String(), Priority: proxyRequest.admissionPriority(), RoutePriority: proxyRequest.routePriority(),
		}
	}
	explained := relay.picker.Explain(requirements)
	choice := explained.Choice
	explanation.Choice = &ExplainedChoice{
		Result: choice.Result.String(), Upstream: choice.Upstream.ID, CopyTo: choice.CopyTo.ID, Load: choice.Load,
		Backlog: choice.Backlog, Wait: inMilliseconds(choice.Wait), RetryAfter: inMilliseconds(choice.RetryAfter),
	}
	for _, considered := range explained.Considered {
		explanation.Candidates = append(explanation.Candidates, relay.explainCandidate(considered))
	}
	explanation.Omitted = explained.Omitted
	refused, after := proxyRequest.explainedRefusal(choice)
	explanation.refuse(refused, after)
}

// explainedRefusal returns the refusal that the request would get after a time if its choice
// stays the same, or nil.
func (proxyRequest *proxyRequest) explainedRefusal(choice picker.Choice) (refused *refusal, after time.Duration) {
	ctx := context.Background()
	refused = cmp.Or(proxyRequest.checkBacklog(), proxyRequest.stopRefusal(), proxyRequest.waitRefusal(ctx, choice, 0))
	if refused != nil || choice.Result == picker.Found || choice.Result == picker.PermitPending {
		return refused, 0
	}
	after = proxyRequest.route.ResponseGoal / admissionWaitDivisor
	if refused = proxyRequest.waitRefusal(ctx, choice, after+1); refused != nil {
		return refused, after
	}
	if proxyRequest.service.Engine != nil && (choice.Result == picker.Full || choice.Result == picker.Starting) {
		return timeoutRefusal(choice), proxyRequest.remainingWait()
	}
	return nil, 0
}

func (relay *Relay) explainCandidate(considered picker.Considered) ExplainedCandidate {
	incarnation := incarnationOf(considered.Upstream)
	candidate := ExplainedCandidate{
		Upstream: considered.Upstream.ID, FailureDomain: considered.Upstream.FailureDomain, SameDomain: considered.SameDomain,
		Obstacle: string(considered.Obstacle), Adapter: string(considered.Adapter), Full: considered.Full, Load: considered.Load,
		Backlog: considered.Backlog, Wait: inMilliseconds(considered.Wait), ColdWait: inMilliseconds(considered.ColdWait),
		ColdFor: inMilliseconds(relay.permits.cold.Remaining(incarnation)), Cost: inMilliseconds(considered.Cost),
		WorkFactor: considered.WorkFactor, PauseRisk: considered.PauseRisk,
		Admitted: considered.Admitted, Ranked: considered.Ranked, EqualFirst: considered.Equal,
	}
	if !considered.BackoffUntil.IsZero() {
		candidate.Backoff = inMilliseconds(time.Until(considered.BackoffUntil))
	}
	if rate := relay.permits.limits.Rate(incarnation); rate != permit.Unlimited {
		candidate.RateLimit, candidate.RateLimited = float64(rate), true
	}
	if admission := considered.Admission; admission.Held != math.MaxInt {
		candidate.Permits = &ExplainedPermits{Held: admission.Held, Pending: admission.Pending, Wait: inMilliseconds(admission.Wait)}
	}
	return candidate
}

// refuse sets the refusal, unless an earlier check refuses the request.
func (explanation *Explanation) refuse(refused *refusal, after time.Duration) {
	if explanation.Refusal == nil {
		explanation.Refusal = explainRefusal(refused, after)
	}
}

func explainRefusal(refused *refusal, after time.Duration) *ExplainedRefusal {
	if refused == nil {
		return nil
	}
	return &ExplainedRefusal{Status: refused.status, Reason: refused.reason, RetryAfter: inMilliseconds(refused.retryAfter), After: inMilliseconds(after)}
}

// inMilliseconds returns a duration in milliseconds, to the microsecond.
func inMilliseconds(duration time.Duration) float64 {
	return float64(duration.Microseconds()) / 1000
}
