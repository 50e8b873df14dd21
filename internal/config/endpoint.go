package config

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"olivedale/internal/admission"
)

// KnownEndpoints holds the changes of the endpoint list that preceded the start of the controller. It is the value of
// the key "known".
type KnownEndpoints struct {
	LastEvent int             `json:"n"` // number of the latest event
	Events    []EndpointEvent `json:"events"`
}

// An EndpointEvent is one change of the endpoint list.
type EndpointEvent struct {
	N         int          `json:"n"` // number of the event
	Endpoints EndpointList `json:"members"`
}

// An EndpointList is the complete list or, if Complete is false, only the endpoints that changed.
type EndpointList struct {
	Revision  int        `json:"revision"`
	Complete  bool       `json:"complete"`
	Endpoints []Endpoint `json:"members"`
}

// An Endpoint is one server that accepts calls. The platform defines its JSON keys.
type Endpoint struct {
	ID      string `json:"id"`
	Address string `json:"host_port"`
	Zone    string `json:"locality"`
	Kind    string `json:"flavor"`
	Pool    int    `json:"cell"`
	Phase   string `json:"phase"`       // PhaseReady, PhaseTerminating or PhaseGone
	Started int64  `json:"up_since_ms"` // start in Unix milliseconds if it started after the others, or 0
}

// Phases of an Endpoint, as the platform writes them.
const (
	PhaseReady       = "Ready"       // accepts new calls
	PhaseTerminating = "Terminating" // keeps its calls but accepts no new ones
	PhaseGone        = "Gone"        // removed from the list
)

// serverStates maps phases to the states of package admission. No other code translates phases.
var serverStates = map[string]admission.ServerState{
	PhaseReady:       admission.Active,
	PhaseTerminating: admission.Draining,
	PhaseGone:        admission.Removed,
}

// errNoEndpointID reports an element of "members" whose key "id" is missing or empty.
var errNoEndpointID = errors.New("member without an id")

// Validate returns an error for the first invalid value. It begins with the endpoint's ID, unless that is missing.
func (e *Endpoint) Validate() error {
	if e.ID == "" {
		return errNoEndpointID
	}
	if _, isKnown := serverStates[e.Phase]; !isKnown {
		return fmt.Errorf("%s: phase %q is none of %s, %s, %s", e.ID, e.Phase, PhaseReady, PhaseTerminating, PhaseGone)
	}
	if e.Phase == PhaseGone {
		return nil // its address is not used
	}
	if _, err := netip.ParseAddrPort(e.Address); err != nil {
		return fmt.Errorf("%s: host_port: %w", e.ID, err)
	}
	return nil
}

// State returns the phase as a state of package admission. The endpoint must be valid.
func (e *Endpoint) State() admission.ServerState { return serverStates[e.Phase] }

// Server converts the endpoint to a server of package admission.
func (e *Endpoint) Server() admission.Server {
	return admission.Server{
		ID:      e.ID,
		Pool:    e.Pool,
		Zone:    e.Zone,
		State:   e.State(),
		Started: admission.Time(e.Started) * time.Millisecond,
	}
}

// validate checks the endpoints of all events.
func (k *KnownEndpoints) validate() error {
	for _, event := range k.Events {
		for _, endpoint := range event.Endpoints.Endpoints {
			if err := endpoint.Validate(); err != nil {
				return fmt.Errorf("event %d: %w", event.N, err)
			}
		}
	}
	return nil
}
