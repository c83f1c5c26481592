package api

import (
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/fleet"
)

// Placement says where an entry would send a request now, and why.
type Placement struct {
	Host core.HostID `json:"host,omitempty"`
	// Route is empty if the request was described by its upstream.
	Route        string     `json:"route,omitempty"`
	Team         core.Team  `json:"team,omitempty"`
	Model        core.Model `json:"model,omitempty"`
	Priority     int        `json:"priority"`
	ObjectiveMS  float64    `json:"objective_ms"`
	Late         bool       `json:"late"`
	PromptTokens int        `json:"prompt_tokens"`
	OutputTokens int        `json:"output_tokens"`
	// Targets has the upstreams of the route. One is drawn by their shares for each request.
	Targets []PlacementTarget `json:"targets"`
}

// PlacementTarget says where a request for an upstream would be sent.
type PlacementTarget struct {
	Upstream core.Upstream `json:"upstream"`
	// Share is the share of the route's requests.
	Share float64 `json:"share"`
	// Wait is set if the requests of the upstream wait in order.
	Wait *PlacementWait `json:"wait,omitempty"`
	// Verdict is the result of the choice: chosen, full, held_off, limited or none. It supposes that no waiting request is ahead.
	Verdict string `json:"verdict"`
	// Certain is false if the verdict depends on whether this host has a permit to send to a replica with a limited rate, which is drawn
	// only when it chooses.
	Certain bool `json:"certain"`
	// HeldMS is the time until a replica takes requests again, 0 if that may be at any moment.
	HeldMS     float64              `json:"held_ms,omitempty"`
	Likely     fleet.ReplicaID      `json:"likely,omitempty"`
	Candidates []PlacementCandidate `json:"candidates"`
}

// PlacementWait is the place of a request among those that wait.
type PlacementWait struct {
	Level int `json:"level"`
	// Lost is true if the objective can't be met any more.
	Lost bool `json:"lost"`
	// StartWithinMS is the time within which the request must start to meet its objective, or its deadline if the objective is lost.
	StartWithinMS float64 `json:"start_within_ms"`
	Waiting       int     `json:"waiting"`
	Ahead         int     `json:"ahead"`
	Guaranteed    bool    `json:"guaranteed"`
	ForecastMS    float64 `json:"forecast_ms"`
	// Refusal is the reason why the request could not wait, empty if it could.
	Refusal string `json:"refusal,omitempty"`
}

// PlacementCandidate says why a replica can't take a request, or how it is rated.
type PlacementCandidate struct {
	Replica       fleet.ReplicaID    `json:"replica"`
	FailureDomain core.FailureDomain `json:"failure_domain"`
	// Reason is empty if the replica may be chosen.
	Reason string `json:"reason,omitempty"`
	// UntilMS is the time until the known end of the reason, 0 if unknown.
	UntilMS float64 `json:"until_ms,omitempty"`
	Load    int     `json:"load"`
	Slots   int     `json:"slots"`
	// ReportAgeMS is the age of the last load report, absent if there is none.
	ReportAgeMS *float64 `json:"report_age_ms,omitempty"`
	// Score is lower for a better replica. It and the following are set only if the replica may be chosen.
	Score        float64 `json:"score,omitempty"`
	FirstEventMS float64 `json:"first_event_ms,omitempty"`
	// Miss is the probability to miss the objective.
	Miss         float64 `json:"miss,omitempty"`
	NoRoom       bool    `json:"no_room,omitempty"`
	PhaseUnknown bool    `json:"phase_unknown,omitempty"`
	Probability  float64 `json:"probability"`
}
