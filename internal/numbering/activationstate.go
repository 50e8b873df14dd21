package numbering

import (
	"encoding/json"
	"errors"
	"fmt"
)

// ActivationState is the stored state of the versions: the digests of the active, the previous and the scheduled one.
type ActivationState struct {
	Active      string `json:"active"`
	Previous    string `json:"before,omitempty"` // active before
	Scheduled   string `json:"next,omitempty"`   // scheduled
	ScheduledAt Time   `json:"due,omitempty"`    // time of the scheduled activation
}

// Encode returns the bytes that are stored.
func (s ActivationState) Encode() []byte {
	b, err := json.Marshal(s)
	if err != nil {
		panic(err) // strings and a number can always be encoded
	}
	return b
}

// DecodeActivationState reads what Encode returned.
func DecodeActivationState(b []byte) (s ActivationState, err error) {
	if err := json.Unmarshal(b, &s); err != nil {
		return s, fmt.Errorf("numbering: %w", err)
	}
	if s.Active == "" {
		return s, errors.New("numbering: no version in force is written down")
	}
	return s, nil
}

// ActivationState returns the state to be stored.
func (r *Registry) ActivationState() ActivationState {
	return ActivationState{
		Active:      r.active.digest(),
		Previous:    r.previous.digest(),
		Scheduled:   r.scheduled.digest(),
		ScheduledAt: r.scheduledAt,
	}
}

// Restore makes the versions active, previous and scheduled as they were when s was stored. The active version must be
// loaded; others that are not loaded are left out.
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
