package numbering

import (
	"encoding/json"
	"errors"
	"fmt"
)

// ActivationState is the part of the state of a Registry that is stored: the digests of the active, the previous and
// the scheduled version.
type ActivationState struct {
	Active      string `json:"active"`
	Previous    string `json:"before,omitempty"` // active before the current one; "": none
	Scheduled   string `json:"next,omitempty"`   // "": none
	ScheduledAt Time   `json:"due,omitempty"`    // time of the scheduled activation
}

// Encode returns the stored form of s.
func (s ActivationState) Encode() []byte {
	b, err := json.Marshal(s)
	if err != nil {
		panic(err) // cannot happen: strings and a number can always be encoded
	}
	return b
}

// DecodeActivationState decodes the result of Encode.
func DecodeActivationState(b []byte) (s ActivationState, err error) {
	if err := json.Unmarshal(b, &s); err != nil {
		return s, fmt.Errorf("numbering: %w", err)
	}
	if s.Active == "" {
		return s, errors.New("numbering: the stored state names no active version")
	}
	return s, nil
}

// ActivationState returns the state that is to be stored.
func (r *Registry) ActivationState() ActivationState {
	return ActivationState{
		Active:      r.active.digest(),
		Previous:    r.previous.digest(),
		Scheduled:   r.scheduled.digest(),
		ScheduledAt: r.scheduledAt,
	}
}

// Restore sets the active, the previous and the scheduled version to those of a stored state. The active version must
// be loaded; the other two are ignored if they are not loaded.
func (r *Registry) Restore(now Time, s ActivationState) error {
	active := r.find(s.Active)
	if active == nil {
		return fmt.Errorf("%w: %s", ErrUnknownVersion, s.Active)
	}
	r.active = active
	r.previous = r.find(s.Previous)
	r.scheduled = r.find(s.Scheduled)
	r.scheduledAt = s.ScheduledAt
	active.activatedAt = now
	return nil
}
