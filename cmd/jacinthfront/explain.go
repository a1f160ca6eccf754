package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
	"jacinthfront.dev/jacinthfront/internal/daemon/relay"
)

const (
	// explainTimeout is how long the relay may take to explain.
	explainTimeout = 5 * time.Second
	// maxExplanationBytes limits the size of an explanation that is read.
	maxExplanationBytes = 1 << 20
)

// explainCommand asks a relay where a request would go.
type explainCommand struct {
	Relay        string        `long:"relay" required:"true" value-name:"ADDRESS" description:"metrics address of a relay, such as 10.0.0.1:9464"`
	Format       string        `long:"format" choice:"text" choice:"json" default:"text" description:"format of the answer"`
	Route        string        `long:"route" description:"name of the route, instead of host and path"`
	Host         string        `long:"host" description:"host of the request"`
	Path         string        `long:"path" description:"path of the request"`
	Service      string        `long:"service" description:"one of the route's services; the one with most requests by default"`
	Organisation string        `long:"organisation" description:"name of the organisation, none by default"`
	Model        string        `long:"model" description:"base model"`
	Adapter      string        `long:"adapter" description:"adapter, none by default"`
	PromptTokens int64         `long:"prompt-tokens" description:"length of the prompt"`
	OutputTokens int64         `long:"output-tokens" description:"limit of the response's length"`
	Timeout      time.Duration `long:"timeout" description:"how long the caller waits, such as 8s"`
}

// Execute implements flags.Commander.
func (command *explainCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), explainTimeout)
	defer cancel()
	return command.explain(ctx, os.Stdout)
}

// explain writes what the relay says.
func (command *explainCommand) explain(ctx context.Context, writer io.Writer) error {
	text, err := command.ask(ctx)
	if err != nil {
		return err
	}
	var explanation relay.Explanation
	if err := json.Unmarshal(text, &explanation); err != nil {
		return fault.New(fault.Invalid, fault.NotRun, "%s does not answer with an explanation: %v; name the metrics address of a relay with --relay", command.Relay, err)
	}
	if command.Format == "json" {
		encoder := json.NewEncoder(writer)
		encoder.SetIndent("", "  ")
		return encoder.Encode(explanation)
	}
	return writeExplanation(writer, explanation)
}

func (command *explainCommand) query() relay.Query {
	return relay.Query{
		Route: command.Route, Host: command.Host, Path: command.Path, Service: command.Service, Organisation: command.Organisation,
		Model: command.Model, Adapter: command.Adapter, PromptTokens: command.PromptTokens, OutputTokens: command.OutputTokens, Timeout: command.Timeout,
	}
}

// ask returns the relay's answer.
func (command *explainCommand) ask(ctx context.Context) ([]byte, error) {
	query := command.query()
	address := "http://" + strings.TrimSuffix(strings.TrimPrefix(command.Relay, "http://"), "/") + relay.ExplainPath + "?" + query.Values().Encode()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return nil, fault.New(fault.Invalid, fault.NotRun, "%v; correct --relay", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, fmt.Errorf("cannot ask the relay: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxExplanationBytes))
	if err != nil {
		return nil, fmt.Errorf("cannot read the relay's answer: %w", err)
	}
	if response.StatusCode == http.StatusOK {
		return text, nil
	}
	var answer relay.ExplainError
	if json.Unmarshal(text, &answer) != nil || answer.Error == "" {
		answer.Error = response.Status
	}
	return nil, fmt.Errorf("the relay cannot explain the request: %s", answer.Error)
}

func writeExplanation(writer io.Writer, explanation relay.Explanation) error {
	for _, line := range explanationLines(explanation) {
		if _, err := fmt.Fprintln(writer, line); err != nil {
			return err
		}
	}
	if len(explanation.Candidates) == 0 {
		return nil
	}
	table := tabwriter.NewWriter(writer, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "UPSTREAM\tFAILURE DOMAIN\tSTATE\tADAPTER\tCOST\tWAIT\tBACKLOG\tLOAD\tFACTOR\tPAUSE RISK\tCOLD WAIT\tRATE LIMIT\tPERMITS")
	for _, candidate := range explanation.Candidates {
		_, _ = fmt.Fprintln(table, strings.Join(candidateColumns(explanation, candidate), "\t"))
	}
	return table.Flush()
}

// explanationLines returns the lines before the table.
func explanationLines(explanation relay.Explanation) []string {
	lines := []string{
		fmt.Sprintf("route: %s, configuration version %d", explanation.Route, explanation.ConfigVersion),
		"service: " + orDash(explanation.Service) + partsOf(explanation.Services),
	}
	if explanation.Adapter != "" {
		lines = append(lines, fmt.Sprintf("adapter: %s, version %d", explanation.Adapter, explanation.AdapterVersion))
	}
	if rate := explanation.Rate; rate != nil {
		lines = append(lines, fmt.Sprintf("rate: organisation %s, cost %g, level %.1f of %g, reserve %.1f, wait %s",
			explanation.Organisation, rate.Cost, rate.Level, rate.Burst, rate.Reserve, inTime(rate.Wait)))
	}
	if order := explanation.Order; order != nil {
		lines = append(lines, fmt.Sprintf("order: class %s, priority %d, route priority %d", order.Class, order.Priority, order.RoutePriority))
	}
	if choice := explanation.Choice; choice != nil {
		lines = append(lines, fmt.Sprintf("choice: %s %s", choice.Result, orDash(choice.Upstream)))
	}
	if refusal := explanation.Refusal; refusal != nil {
		lines = append(lines, fmt.Sprintf("refusal: %d after %s, retry after %s", refusal.Status, inTime(refusal.After), inTime(refusal.RetryAfter)))
	}
	lines = append(lines, "why: "+strings.Join(explanation.Why, "; "))
	if explanation.Omitted > 0 {
		lines = append(lines, fmt.Sprintf("omitted: %d candidates", explanation.Omitted))
	}
	return lines
}

// partsOf returns the services' parts of the requests, if there are several.
func partsOf(services []relay.ExplainedPart) string {
	if len(services) < 2 {
		return ""
	}
	parts := make([]string, 0, len(services))
	for _, part := range services {
		parts = append(parts, fmt.Sprintf("%s %.0f %%", part.Service, part.Part*100))
	}
	return " (" + strings.Join(parts, ", ") + ")"
}

func candidateColumns(explanation relay.Explanation, candidate relay.ExplainedCandidate) []string {
	factor, limit, permits := "-", "-", "-"
	if candidate.WorkFactor > 0 {
		factor = strconv.FormatFloat(candidate.WorkFactor, 'f', 2, 64)
	}
	if candidate.RateLimited {
		limit = strconv.FormatFloat(candidate.RateLimit, 'g', 3, 64)
	}
	if candidate.Permits != nil {
		permits = strconv.Itoa(candidate.Permits.Held)
	}
	domain := candidate.FailureDomain
	if candidate.SameDomain {
		domain += " (same)"
	}
	cost := "-"
	if candidate.Obstacle == "" {
		cost = inTime(candidate.Cost)
	}
	return []string{
		candidate.Upstream, domain, candidateState(explanation, candidate), orDash(candidate.Adapter), cost, inTime(candidate.Wait),
		strconv.FormatInt(candidate.Backlog, 10), strconv.Itoa(candidate.Load), factor, strconv.FormatFloat(candidate.PauseRisk, 'f', 2, 64),
		inTime(candidate.ColdWait), limit, permits,
	}
}

// candidateState returns in a word what becomes of a candidate.
func candidateState(explanation relay.Explanation, candidate relay.ExplainedCandidate) string {
	switch {
	case explanation.Choice != nil && candidate.Upstream == explanation.Choice.Upstream:
		return "chosen"
	case candidate.EqualFirst:
		return "equal"
	case candidate.Backoff > 0:
		return candidate.Obstacle + " " + inTime(candidate.Backoff)
	case candidate.Obstacle != "":
		return candidate.Obstacle
	case !candidate.Admitted:
		return "needs-permit"
	case candidate.Full:
		return "full"
	default:
		return "usable"
	}
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

func inTime(milliseconds float64) string {
	return strconv.FormatFloat(milliseconds, 'f', 0, 64) + "ms"
}
