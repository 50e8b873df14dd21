// Package discovery keeps the list of endpoints that a DNS service announces by SRV records. It writes the
// queries, reads the answers and returns what changed. It never opens a socket: the caller sends and receives.
package discovery

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"

	"olivedale/internal/config"
)

// ErrEmptyList says that an answer lists no endpoint while the current list has some. The answer to a later query
// has to confirm it.
var ErrEmptyList = errors.New("an empty list that no second answer confirms yet")

// A Resolver keeps the list of endpoints as of the newest accepted answer. It is for one goroutine at a time.
type Resolver struct {
	serial    uint32
	endpoints map[string]config.Endpoint // by Endpoint.ID
	queries   queryLog
	empty     emptyAnswer
}

// An emptyAnswer is the latest answer without endpoints that waits for confirmation by another query's answer.
type emptyAnswer struct {
	pending bool
	queryID uint16
}

// NewResolver applies the events that the configuration holds. It returns the resolver and its endpoints in the
// order of their IDs.
func NewResolver(known config.KnownEndpoints) (*Resolver, []config.Endpoint) {
	r := &Resolver{serial: uint32(known.LastEvent), endpoints: make(map[string]config.Endpoint)}
	for _, event := range known.Events {
		r.apply(event.Endpoints)
	}
	all := slices.Collect(maps.Values(r.endpoints))
	sortByID(all)
	return r, all
}

// apply changes the list by one event of the configuration.
func (r *Resolver) apply(update config.EndpointList) {
	if update.Complete {
		clear(r.endpoints)
	}
	for _, endpoint := range update.Endpoints {
		if endpoint.Phase == config.PhaseGone {
			delete(r.endpoints, endpoint.ID)
		} else {
			r.endpoints[endpoint.ID] = endpoint
		}
	}
}

func sortByID(endpoints []config.Endpoint) {
	slices.SortFunc(endpoints, func(a, b config.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
}

// Serial returns the number of the newest event in the list.
func (r *Resolver) Serial() uint32 { return r.serial }

// HandleAnswer reads an answer and returns the endpoints that changed, in the order of their IDs; a removed one has
// PhaseGone. An answer that is not newer than the list changes nothing, and so does one that comes with an error.
func (r *Resolver) HandleAnswer(message []byte) ([]config.Endpoint, error) {
	received, err := parseAnswer(message, &r.queries)
	if err != nil {
		return nil, fmt.Errorf("discovery: answer: %w", err)
	}
	if !isNewer(received.serial, r.serial) {
		return nil, nil
	}
	if !r.passesEmptyListCheck(received) {
		return nil, fmt.Errorf("discovery: answer: %w", ErrEmptyList)
	}
	changed := r.diff(received.endpoints)
	r.serial = received.serial
	r.endpoints = received.endpoints
	return changed, nil
}

// isNewer compares serial numbers as RFC 1982 does: they wrap around.
func isNewer(serial, current uint32) bool { return int32(serial-current) > 0 }

// passesEmptyListCheck guards against an answer that has lost its records: an old list is better than none. A list becomes
// empty only when the answers to two queries in a row say so; a repeated answer to one query is not a confirmation.
func (r *Resolver) passesEmptyListCheck(received answer) bool {
	losesAll := len(received.endpoints) == 0 && len(r.endpoints) > 0
	isConfirmed := r.empty.pending && r.empty.queryID != received.queryID
	if losesAll && !isConfirmed {
		r.empty = emptyAnswer{pending: true, queryID: received.queryID}
		return false
	}
	r.empty = emptyAnswer{}
	return true
}

// diff compares the list with a newer one.
func (r *Resolver) diff(newer map[string]config.Endpoint) []config.Endpoint {
	var changed []config.Endpoint
	for id, endpoint := range r.endpoints {
		if _, isListed := newer[id]; !isListed {
			endpoint.Phase = config.PhaseGone
			changed = append(changed, endpoint)
		}
	}
	for id, endpoint := range newer {
		if r.endpoints[id] != endpoint {
			changed = append(changed, endpoint)
		}
	}
	sortByID(changed)
	return changed
}
