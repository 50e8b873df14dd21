package config

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"olivedale/internal/admission"
)

// KnownEndpoints holds the events of the endpoint list up to the start. It is the value of the key "known".
type KnownEndpoints struct {
	LastEvent int             `json:"n"` // number of the latest event
	Events    []EndpointEvent `json:"events"`
}

// An EndpointEvent is one change of the endpoint list.
type EndpointEvent struct {
	N         int          `json:"n"` // number of the event
	Endpoints EndpointList `json:"members"`
}

// An EndpointList is the complete list or, unless Complete, what changed in it.
type EndpointList struct {
	Revision  int        `json:"revision"`
	Complete  bool       `json:"complete"`
	Endpoints []Endpoint `json:"members"`
}

// An Endpoint is one server that takes calls. Its JSON keys are the platform's.
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
	PhaseReady       = "Ready"       // takes new calls
	PhaseTerminating = "Terminating" // keeps its calls and takes no new ones
	PhaseGone        = "Gone"        // is removed from the list
)

// serverStates is the one place that translates phases to states of the decision module.
var serverStates = map[string]admission.ServerState{
	PhaseReady:       admission.Active,
	PhaseTerminating: admission.Draining,
	PhaseGone:        admission.Removed,
}

// errNoEndpointID is the error of an endpoint whose key "id" is empty.
var errNoEndpointID = errors.New("a member has no id")

// Validate returns an error that begins with the endpoint's ID if a value is invalid.
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

// State returns the phase as a state of the decision module. The endpoint must be valid.
func (e *Endpoint) State() admission.ServerState { return serverStates[e.Phase] }

// Server returns the endpoint in the form of the decision module.
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
