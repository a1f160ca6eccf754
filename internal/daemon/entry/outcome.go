package entry

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

const (
	// outcomeTimeout bounds the search for an outcome.
	outcomeTimeout = 3 * time.Second
	// maxOutcomeQueries bounds the side processes that are asked.
	maxOutcomeQueries = 64
)

// outcomeBody is the response to GET /v1/requests/ID.
type outcomeBody struct {
	RequestID string          `json:"request-id"`
	Ran       fault.Execution `json:"ran"`
	Running   bool            `json:"running"`
	Status    uint32          `json:"status,omitempty"`
}

// serveOutcome reports what is known of an earlier request.
func (exchange *exchange) serveOutcome() *fault.Fault {
	if fault := exchange.authenticate(false); fault != nil {
		return fault
	}
	id := strings.TrimPrefix(exchange.request.URL.Path, "/v1/requests/")
	if len(id) > 64 {
		return badRequest("the request id is too long; send it as the header X-Request-Id gave it")
	}
	ctx, cancel := context.WithTimeout(exchange.request.Context(), outcomeTimeout)
	defer cancel()
	body := outcomeBody{RequestID: id, Ran: fault.RunUnknown}
	upstreams, complete := exchange.possibleUpstreams(id)
	answered := 0
	for _, upstream := range upstreams {
		response, err := exchange.queryUpstream(ctx, upstream, id)
		if err != nil {
			continue
		}
		answered++
		if response.GetRunning() || response.GetRan() == wirepb.Ran_RAN_RAN {
			body.Ran, body.Running, body.Status = fault.DidRun, response.GetRunning(), response.GetStatus()
			exchange.writeJSON(http.StatusOK, body)
			return nil
		}
		if response.GetRan() == wirepb.Ran_RAN_NOT_RUN {
			body.Ran = fault.NotRun
		}
	}
	if body.Ran == fault.NotRun && (!complete || answered < len(upstreams)) {
		// An upstream that was not asked or did not answer may have run the request.
		body.Ran = fault.RunUnknown
	}
	exchange.writeJSON(http.StatusOK, body)
	return nil
}

// possibleUpstreams returns the upstreams that the request may have been sent to,
// the likeliest first, and whether the list is complete.
func (exchange *exchange) possibleUpstreams(id string) ([]string, bool) {
	if upstreams := exchange.entry.history.find(id); len(upstreams) > 0 {
		return upstreams, true
	}
	tag := id[strings.LastIndexByte(id, '-')+1:]
	var tagged, others []string
	for _, spec := range exchange.config.Upstreams() {
		switch {
		case !spec.Half.CompatibleWith(exchange.organisation.Half):
		case upstreamTag(spec.ID) == tag:
			tagged = append(tagged, spec.ID)
		default:
			others = append(others, spec.ID)
		}
	}
	upstreams := slices.Concat(tagged, others)
	return upstreams[:min(len(upstreams), maxOutcomeQueries)], len(upstreams) <= maxOutcomeQueries
}

func (exchange *exchange) queryUpstream(ctx context.Context, upstream, id string) (*wirepb.OutcomeResponse, error) {
	instance, ok := exchange.entry.config.InstanceSource.SideProcess(upstream)
	if !ok {
		return nil, noUpstream(upstream)
	}
	ctx, cancel := context.WithTimeout(ctx, outcomeTimeout/4)
	defer cancel()
	return exchange.entry.callOutcome(ctx, instance.Address, &wirepb.OutcomeRequest{
		RequestId: id, Organisation: exchange.organisation.Name,
	})
}
