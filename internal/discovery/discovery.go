// Package discovery maintains the list of endpoints that a DNS service publishes in SRV records. It builds the
// queries, parses the answers and returns the changes. It opens no sockets: the caller sends and receives messages.
package discovery

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"

	"olivedale/internal/config"
)

// ErrEmptyList is returned for an answer without endpoints while the current list is not empty. Such an answer must
// be confirmed by the answer to another query.
var ErrEmptyList = errors.New("empty list of endpoints, not yet confirmed by a second answer")

// A Resolver holds the list of endpoints as of the newest accepted answer. It is not safe for concurrent use.
type Resolver struct {
	serial    uint32
	endpoints map[string]config.Endpoint // by Endpoint.ID
	queries   queryLog
	empty     emptyAnswer
}

// An emptyAnswer is an answer without endpoints that has yet to be confirmed by the answer to another query.
type emptyAnswer struct {
	pending bool
	queryID uint16
}

// NewResolver returns a resolver whose list results from the events in the configuration, and the endpoints of the
// list sorted by ID.
func NewResolver(known config.KnownEndpoints) (*Resolver, []config.Endpoint) {
	r := &Resolver{serial: uint32(known.LastEvent), endpoints: make(map[string]config.Endpoint)}
	for _, event := range known.Events {
		r.apply(event.Endpoints)
	}
	all := slices.Collect(maps.Values(r.endpoints))
	sortByID(all)
	return r, all
}

// apply updates the list with one event of the configuration.
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

// Serial returns the serial number of the list: that of the newest accepted answer or configured event.
func (r *Resolver) Serial() uint32 { return r.serial }

// HandleAnswer processes an answer and returns the endpoints that changed, sorted by ID; removed endpoints have
// PhaseGone. The list stays unchanged if the answer is not newer than the list or HandleAnswer returns an error.
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

// isNewer compares serial numbers, which wrap around, as defined by RFC 1982.
func isNewer(serial, current uint32) bool { return int32(serial-current) > 0 }

// passesEmptyListCheck guards against answers that lack their records, because an outdated list is better than an
// empty one. The list becomes empty only if the answers to two consecutive queries have no endpoints; a repeated
// answer to the same query is not a confirmation.
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

// diff returns the endpoints that are changed, added or removed in a newer list, sorted by ID.
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
