package relay

import (
	"fmt"

	"jacinthfront.dev/jacinthfront/internal/flow/picker"
	"jacinthfront.dev/jacinthfront/internal/state/routes"
)

// choiceReasons says what each result of a choice means.
var choiceReasons = map[string]string{
	picker.Found.String():          "%s has the least cost of those that can take the request",
	picker.AdapterMissing.String(): "%s is to load the adapter, as none that has it can take the request sooner",
	picker.PermitPending.String():  "%s is to be asked for a permit, which may come at once",
	picker.Full.String():           "all upstreams are full",
	picker.Starting.String():       "engines are loading their model, and the others cannot take the request",
	picker.NoUpstream.String():     "no upstream takes requests",
	picker.RateLimited.String():    "the rate limits of all upstreams that take requests are used up",
	picker.Evacuated.String():      "all upstreams are in evacuated failure domains",
}

// reasonHolder replaces the reason of the result found for a request with an adapter.
const reasonHolder = "%s has the adapter, and the least cost of those that have it and can take the request"

// reasons says why the request would go where it goes.
func (explanation *Explanation) reasons(route *routes.Route) []string {
	var why []string
	add := func(format string, values ...any) { why = append(why, fmt.Sprintf(format, values...)) }
	if refusal := explanation.Refusal; refusal != nil {
		add("refused with %d after %.0f ms: %s", refusal.Status, refusal.After, refusal.Reason)
	}
	if route.Open {
		add("the route is open, so no organisation and no rate count")
	}
	if len(explanation.Services) > 1 {
		add("the service is chosen at random by its part")
	}
	if rate := explanation.Rate; rate != nil && !rate.Admitted {
		add("the organisation's rate lets it through after %.0f ms", rate.Wait)
	}
	choice := explanation.Choice
	if choice == nil {
		return why
	}
	if choice.Upstream == "" {
		return append(why, choiceReasons[choice.Result])
	}
	reason := choiceReasons[choice.Result]
	if choice.Result == picker.Found.String() && explanation.Adapter != "" {
		reason = reasonHolder
	}
	add(reason, choice.Upstream)
	if equal := explanation.equal(); equal > 0 {
		add("the choice between it and %d equal ones is random", equal)
	}
	if choice.CopyTo != "" {
		add("%s is to load the adapter too", choice.CopyTo)
	}
	return why
}

// equal returns how many candidates are equal to the chosen one.
func (explanation *Explanation) equal() (count int) {
	for _, candidate := range explanation.Candidates {
		if candidate.EqualFirst {
			count++
		}
	}
	return count
}
