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
	// outcomeTime bounds the search for an outcome.
	outcomeTime = 3 * time.Second
	// outcomeAsks bounds the side processes asked.
	outcomeAsks = 64
)

// outcomeBody is the answer to GET /v1/requests/ID.
type outcomeBody struct {
	RequestID string          `json:"request-id"`
	Ran       fault.Execution `json:"ran"`
	Running   bool            `json:"running"`
	Status    uint32          `json:"status,omitempty"`
}

// serveOutcome tells what is known of an earlier request.
func (exchange *exchange) serveOutcome() *fault.Fault {
	if fault := exchange.authenticate(false); fault != nil {
		return fault
	}
	id := strings.TrimPrefix(exchange.request.URL.Path, "/v1/requests/")
	if len(id) > 64 {
		return badRequest("the request id is too long; send it as the header X-Request-Id gave it")
	}
	ctx, cancel := context.WithTimeout(exchange.request.Context(), outcomeTime)
	defer cancel()
	body := outcomeBody{RequestID: id, Ran: fault.RunUnknown}
	upstreams, complete := exchange.placesOf(id)
	answered := 0
	for _, upstream := range upstreams {
		answer, err := exchange.askUpstream(ctx, upstream, id)
		if err != nil {
			continue
		}
		answered++
		if answer.GetRunning() || answer.GetRan() == wirepb.Ran_RAN_RAN {
			body.Ran, body.Running, body.Status = fault.DidRun, answer.GetRunning(), answer.GetStatus()
			exchange.writeJSON(http.StatusOK, body)
			return nil
		}
		if answer.GetRan() == wirepb.Ran_RAN_NOT_RUN {
			body.Ran = fault.NotRun
		}
	}
	if body.Ran == fault.NotRun && (!complete || answered < len(upstreams)) {
		// A place that was not asked may have run it.
		body.Ran = fault.RunUnknown
	}
	exchange.writeJSON(http.StatusOK, body)
	return nil
}

// placesOf returns the upstreams that the request may have gone to, the most
// likely ones first, and whether there can be no others.
func (exchange *exchange) placesOf(id string) ([]string, bool) {
	if places := exchange.entry.places.find(id); len(places) > 0 {
		return places, true
	}
	mark := id[strings.LastIndexByte(id, '-')+1:]
	var marked, others []string
	for _, spec := range exchange.config.Upstreams() {
		switch {
		case !spec.Half.CompatibleWith(exchange.organisation.Half):
		case placeMark(spec.ID) == mark:
			marked = append(marked, spec.ID)
		default:
			others = append(others, spec.ID)
		}
	}
	places := slices.Concat(marked, others)
	return places[:min(len(places), outcomeAsks)], len(places) <= outcomeAsks
}

func (exchange *exchange) askUpstream(ctx context.Context, upstream, id string) (*wirepb.OutcomeResponse, error) {
	instance, ok := exchange.entry.config.InstanceSource.SideProcess(upstream)
	if !ok {
		return nil, noUpstream(upstream)
	}
	ctx, cancel := context.WithTimeout(ctx, outcomeTime/4)
	defer cancel()
	return exchange.entry.askOutcome(ctx, instance.Address, &wirepb.OutcomeRequest{
		RequestId: id, Organisation: exchange.organisation.Name,
	})
}
