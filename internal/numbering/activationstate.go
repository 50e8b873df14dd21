package numbering

import (
	"encoding/json"
	"errors"
	"fmt"
)

// Standing is the stored state of the versions: the digests of the active, the previous and the scheduled one.
type Standing struct {
	Active string `json:"active"`
	Before string `json:"before,omitempty"` // active before
	Next   string `json:"next,omitempty"`   // scheduled
	Due    Time   `json:"due,omitempty"`    // time of the scheduled activation
}

// Encode returns the bytes that are stored.
func (s Standing) Encode() []byte {
	b, err := json.Marshal(s)
	if err != nil {
		panic(err) // strings and a number can always be encoded
	}
	return b
}

// DecodeStanding reads what Encode returned.
func DecodeStanding(b []byte) (s Standing, err error) {
	if err := json.Unmarshal(b, &s); err != nil {
		return s, fmt.Errorf("numbering: %w", err)
	}
	if s.Active == "" {
		return s, errors.New("numbering: no version in force is written down")
	}
	return s, nil
}

// Standing returns the state to be stored.
func (r *Registry) Standing() Standing {
	return Standing{
		Active: r.active.digest(),
		Before: r.previous.digest(),
		Next:   r.scheduled.digest(),
		Due:    r.scheduledAt,
	}
}

// Restore makes the versions active, previous and scheduled as they were when s was stored. The active version must be
// loaded; others that are not loaded are left out.
func (r *Registry) Restore(now Time, s Standing) error {
	active := r.find(s.Active)
	if active == nil {
		return fmt.Errorf("%w: %s", ErrUnknownVersion, s.Active)
	}
	r.active = active
	r.previous = r.find(s.Before)
	r.scheduled = r.find(s.Next)
	r.scheduledAt = s.Due
	active.activatedAt = now
	return nil
}
