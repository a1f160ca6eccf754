package relay

// Explanation is the answer of ExplainPath: where a described request would go now, and why.
// Times are in milliseconds.
type Explanation struct {
	ConfigVersion uint64          `json:"config-version"`
	ConfigAge     float64         `json:"config-age-ms"`
	Route         string          `json:"route"`
	Service       string          `json:"service,omitempty"`
	Services      []ExplainedPart `json:"services,omitempty"`
	Organisation  string          `json:"organisation,omitempty"`
	// Adapter is empty if the request needs none. Version 0 means that none is announced.
	Adapter        string  `json:"adapter,omitempty"`
	AdapterVersion uint32  `json:"adapter-version,omitempty"`
	Timeout        float64 `json:"timeout-ms"`
	// Rate is nil if no rate applies, and Order if the service has no engines.
	Rate       *ExplainedRate       `json:"rate,omitempty"`
	Order      *ExplainedOrder      `json:"order,omitempty"`
	Choice     *ExplainedChoice     `json:"choice,omitempty"`
	Candidates []ExplainedCandidate `json:"candidates,omitempty"`
	// Omitted counts the candidates beyond those listed.
	Omitted int `json:"candidates-omitted,omitempty"`
	// Refusal is nil if nothing would refuse the request.
	Refusal *ExplainedRefusal `json:"refusal,omitempty"`
	Why     []string          `json:"why"`
}

// ExplainedPart is a service of the route with its part of the requests.
type ExplainedPart struct {
	Service string  `json:"service"`
	Part    float64 `json:"part"`
}

// ExplainedRate says whether the organisation's rate lets the request through.
type ExplainedRate struct {
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
	Cost  float64 `json:"cost"`
	// Level is what the bucket holds, Part the part of the rate that this instance counts
	// on, and Reserve what is kept for more urgent requests.
	Level    float64 `json:"level"`
	Part     float64 `json:"part"`
	Reserve  float64 `json:"reserve"`
	Wait     float64 `json:"wait-ms"`
	Admitted bool    `json:"admitted"`
}

// ExplainedOrder is the place of the request in the order at engines.
type ExplainedOrder struct {
	Class         string `json:"class"`
	Priority      int    `json:"priority"`
	RoutePriority int    `json:"route-priority"`
}

// ExplainedChoice is the choice among the upstreams.
type ExplainedChoice struct {
	Result     string  `json:"result"`
	Upstream   string  `json:"upstream,omitempty"`
	CopyTo     string  `json:"copy-to,omitempty"`
	Load       int     `json:"load"`
	Backlog    int64   `json:"backlog"`
	Wait       float64 `json:"wait-ms"`
	RetryAfter float64 `json:"retry-after-ms,omitempty"`
}

// ExplainedCandidate is an upstream of the service.
type ExplainedCandidate struct {
	Upstream      string `json:"upstream"`
	FailureDomain string `json:"failure-domain"`
	SameDomain    bool   `json:"same-domain"`
	// Obstacle says why it gets no requests, empty if it may.
	Obstacle    string  `json:"obstacle,omitempty"`
	Backoff     float64 `json:"backoff-ms,omitempty"`
	Adapter     string  `json:"adapter,omitempty"`
	Full        bool    `json:"full"`
	Load        int     `json:"load"`
	Backlog     int64   `json:"backlog"`
	Wait        float64 `json:"wait-ms"`
	ColdWait    float64 `json:"cold-wait-ms,omitempty"`
	ColdFor     float64 `json:"cold-for-ms,omitempty"`
	Cost        float64 `json:"cost-ms"`
	WorkFactor  float64 `json:"work-factor,omitempty"`
	PauseRisk   float64 `json:"pause-risk,omitempty"`
	RateLimit   float64 `json:"rate-limit,omitempty"`
	RateLimited bool    `json:"rate-limited"`
	// Permits is present if sends need a permit; Admitted is false while there is none.
	Permits    *ExplainedPermits `json:"permits,omitempty"`
	Admitted   bool              `json:"admitted"`
	Ranked     bool              `json:"ranked"`
	EqualFirst bool              `json:"equal-to-first,omitempty"`
}

// ExplainedPermits says what permits this instance holds for an upstream.
type ExplainedPermits struct {
	Held    int     `json:"held"`
	Pending bool    `json:"pending"`
	Wait    float64 `json:"wait-ms"`
}

// ExplainedRefusal is the refusal that the request would get after a wait, if nothing
// changes.
type ExplainedRefusal struct {
	Status     int     `json:"status"`
	Reason     string  `json:"reason"`
	RetryAfter float64 `json:"retry-after-ms,omitempty"`
	After      float64 `json:"after-ms"`
}

// ExplainError is the answer of ExplainPath to a request that cannot be explained.
type ExplainError struct {
	Error string `json:"error"`
}
