// Package order ranks the requests that wait for what is scarce at an engine:
// the turn of a request, and the load of its adapter. It decides without I/O.
// Where the requests differ in neither priority, goal nor organisation, they are
// ordered by arrival.
package order

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Defaults of Config.
const (
	// DefaultPriorityDelay is by how much later a request comes for each level
	// of Priority; 0 is the most urgent level.
	DefaultPriorityDelay = 300 * time.Millisecond
	// DefaultLateDelay is by how much later a late request comes where no
	// requests compete.
	DefaultLateDelay = 1500 * time.Millisecond
	// DefaultLatePriorityPart is the part of its remaining patience by which a late
	// request comes later for each level of Priority.
	DefaultLatePriorityPart = 0.15
	// DefaultPatience is how long a caller waits if that is not known.
	DefaultPatience = 10 * time.Second
	// DefaultShareDelay is by how much later a request of an organisation above
	// its share comes.
	DefaultShareDelay = 500 * time.Millisecond
	// DefaultSlack is the time until the start of a request without a goal.
	DefaultSlack = time.Second
	// DefaultMargin is how long before its latest start a request must be
	// expected to start. It covers the time until the grant reaches the engine.
	DefaultMargin = 100 * time.Millisecond
	// DefaultLateShare is the part of the admitted tokens that late requests
	// get while others wait.
	DefaultLateShare = 0.0625
)

// slackTolerance is by how much the time until the latest start may differ
// between requests with the same goal, since it follows measured latencies.
const slackTolerance = 250 * time.Millisecond

// Config configures a Ranker. Zero values mean the defaults.
type Config struct {
	PriorityDelay    time.Duration
	LateDelay        time.Duration
	LatePriorityPart float64
	Patience         time.Duration
	ShareDelay       time.Duration
	Slack            time.Duration
	Margin           time.Duration
	LateShare        float64
}

// Request is what the order of a waiting request depends on.
type Request struct {
	Priority int
	// RoutePriority is the priority of the request's route if the organisation's
	// takes its place as Priority. It decides where those are equal.
	RoutePriority int
	// Organisation is a hash of the organisation's name, 0 if it is not known.
	Organisation uint32
	// Tokens is the work that the request is for the engine, in prompt tokens.
	Tokens    int64
	ArrivedAt time.Time
	// StartBy is when the request must start to meet its response-time goal, zero
	// if it has none.
	StartBy time.Time
	// GiveUpBy is when its caller gives up, zero if that is not known.
	GiveUpBy time.Time
	// Late means that the request misses its goal.
	Late bool
	// Bound requests come before all others, as those can go to more engines.
	Bound bool
}

// Capacity is what an engine admits: Free tokens at once, and then Rate tokens a
// millisecond. A Rate of 0 means that it is not limited.
type Capacity struct {
	Free int64
	Rate float64
}

// Class is the first criterion of the order.
type Class uint8

const (
	// Bound requests continue a stream that only engines of one software version
	// can continue.
	Bound Class = iota
	// OnTime requests can still meet their goal.
	OnTime
	// Late requests cannot, or only if others could not.
	Late
)

// String returns the name of the class, as in log lines and metrics.
func (class Class) String() string {
	return [...]string{"bound", "on-time", "late"}[class]
}

// Place is the place of a request in the order.
type Place struct {
	// Index is the request's index among those that were ranked.
	Index int
	Class Class

	at         time.Time
	aboveShare bool
}

// Ranker orders waiting requests. Its methods must not be called concurrently.
type Ranker struct {
	config Config
	shares shares
}

// New returns a Ranker for an engine that has admitted nothing yet.
func New(config Config) *Ranker {
	config.PriorityDelay = cmp.Or(config.PriorityDelay, DefaultPriorityDelay)
	config.LateDelay = cmp.Or(config.LateDelay, DefaultLateDelay)
	config.LatePriorityPart = cmp.Or(config.LatePriorityPart, DefaultLatePriorityPart)
	config.Patience = cmp.Or(config.Patience, DefaultPatience)
	config.ShareDelay = cmp.Or(config.ShareDelay, DefaultShareDelay)
	config.Slack = cmp.Or(config.Slack, DefaultSlack)
	config.Margin = cmp.Or(config.Margin, DefaultMargin)
	config.LateShare = cmp.Or(config.LateShare, DefaultLateShare)
	return &Ranker{config: config, shares: newShares()}
}

// RecordAdmitted records that a request was admitted as one of a class.
func (ranker *Ranker) RecordAdmitted(request Request, class Class, now time.Time) {
	ranker.shares.record(request, class, now)
}

// Rank returns the places of the requests in the order of their admission.
// Requests of equal rank keep their order.
func (ranker *Ranker) Rank(requests []Request, capacity Capacity, now time.Time) []Place {
	if !competing(requests) {
		return ranker.rankByArrival(requests)
	}
	ranker.shares.decay(now)
	organisations := ranker.shares.even(requests)
	places := make([]Place, len(requests))
	for i, request := range requests {
		places[i] = Place{Index: i, Class: request.class(), aboveShare: ranker.shares.above(request.Organisation, organisations)}
		places[i].at = ranker.sortTime(request, places[i], now)
	}
	slices.SortStableFunc(places, comparePlaces)
	ranker.passOver(requests, places, capacity, now)
	slices.SortStableFunc(places, comparePlaces)
	return ranker.letLateIn(places)
}

// rankByArrival orders requests that do not compete. Late ones are delayed, so
// that they do not make those on time late, but are not put last, so that they
// are served before their callers give up.
func (ranker *Ranker) rankByArrival(requests []Request) []Place {
	places := make([]Place, len(requests))
	for i, request := range requests {
		at := request.ArrivedAt
		if request.Late {
			at = at.Add(ranker.config.LateDelay)
		}
		places[i] = Place{Index: i, Class: request.class(), at: at}
	}
	slices.SortStableFunc(places, func(a, b Place) int {
		return cmp.Or(compareBound(a, b), a.at.Compare(b.at))
	})
	return places
}

// competing reports whether the requests differ in priority, organisation or
// goal. The goal of a late request is unknown if its start has passed before its
// arrival here.
func competing(requests []Request) bool {
	shortest, longest := time.Duration(math.MaxInt64), time.Duration(0)
	for _, request := range requests {
		if request.level() != requests[0].level() || request.Organisation != requests[0].Organisation {
			return true
		}
		if request.Late && request.StartBy.Equal(request.ArrivedAt) {
			continue
		}
		slack := time.Duration(0)
		if !request.StartBy.IsZero() {
			slack = request.StartBy.Sub(request.ArrivedAt)
		}
		shortest, longest = min(shortest, slack), max(longest, slack)
	}
	return longest-shortest > slackTolerance
}

// routeLevels is the number of route priorities that together make a level of
// Priority.
const routeLevels = 4

// level returns Priority with the route's priority as a fraction.
func (request Request) level() float64 {
	return float64(request.Priority) + float64(min(max(request.RoutePriority, 0), routeLevels-1))/routeLevels
}

// class returns the class of a request by itself.
func (request Request) class() Class {
	switch {
	case request.Bound:
		return Bound
	case request.Late:
		return Late
	default:
		return OnTime
	}
}

// sortTime returns the time by which the requests of one class are ordered.
// Those on time are ordered by the time at which they must start.
func (ranker *Ranker) sortTime(request Request, place Place, now time.Time) time.Time {
	at := request.startBy(ranker.config.Slack).Add(time.Duration(request.level() * float64(ranker.config.PriorityDelay)))
	if place.Class == Late {
		at = ranker.lateSortTime(request, now)
	}
	if place.aboveShare {
		at = at.Add(ranker.config.ShareDelay)
	}
	return at
}

// lateSortTime returns the sort time of a late request: the larger the part of its
// caller's patience that has passed, the sooner it comes. The less of it is left,
// the less its priority matters, so that none waits for ever.
func (ranker *Ranker) lateSortTime(request Request, now time.Time) time.Time {
	patience := ranker.config.Patience
	if request.GiveUpBy.After(request.ArrivedAt) {
		patience = request.GiveUpBy.Sub(request.ArrivedAt)
	}
	passed := min(now.Sub(request.ArrivedAt).Seconds()/patience.Seconds(), 1)
	passed -= request.level() * ranker.config.LatePriorityPart * (1 - passed)
	return now.Add(-time.Duration(passed * float64(ranker.config.Patience)))
}

// startBy returns when the request should start at the latest. One without a goal
// has a time of slack, or until its caller gives up.
func (request Request) startBy(slack time.Duration) time.Time {
	if !request.StartBy.IsZero() {
		return request.StartBy
	}
	at := request.ArrivedAt.Add(slack)
	if !request.GiveUpBy.IsZero() && request.GiveUpBy.Before(at) {
		return request.GiveUpBy
	}
	return at
}

func comparePlaces(a, b Place) int {
	return cmp.Or(cmp.Compare(a.Class, b.Class), a.at.Compare(b.at))
}

// compareBound orders bound requests before the others.
func compareBound(a, b Place) int {
	return cmp.Compare(min(a.Class, OnTime), min(b.Class, OnTime))
}

// letLateIn moves the first late request before those on time if late ones have
// got less than their share.
func (ranker *Ranker) letLateIn(places []Place) []Place {
	first := slices.IndexFunc(places, func(place Place) bool { return place.Class != Bound })
	late := slices.IndexFunc(places, func(place Place) bool { return place.Class == Late })
	if late <= first || !ranker.shares.lateBelow(ranker.config.LateShare) {
		return places
	}
	let := places[late]
	return slices.Insert(slices.Delete(places, late, late+1), first, let)
}
