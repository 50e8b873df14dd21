package cluster

import (
	"errors"
	"fmt"
	"os"

	"github.com/BurntSushi/toml"
)

// A Schedule has the faults of a run. LoadSchedule reads what Save writes.
type Schedule struct {
	// Seed is the seed that the schedule was drawn from. Callers, exchanges and proxies are seeded with it as well.
	Seed   uint64   `toml:"seed" json:"seed"`
	Faults []*Fault `toml:"step" json:"step"`
}

// maxFaults is the maximum number of faults in a schedule.
const maxFaults = 256

// Check returns an error if the schedule cannot be played on a topology.
func (s *Schedule) Check(t *Topology) error {
	if len(s.Faults) > maxFaults {
		return fmt.Errorf("schedule: %d steps, at most %d are allowed", len(s.Faults), maxFaults)
	}
	for i, f := range s.Faults {
		if err := f.check(t); err != nil {
			return fmt.Errorf("schedule: step %d (%s): %w", i+1, f.Kind, err)
		}
	}
	return nil
}

// LoadSchedule reads a schedule from a TOML file. An unknown key or kind of fault is an error.
func LoadSchedule(path string) (*Schedule, error) {
	s := &Schedule{}
	meta, err := toml.DecodeFile(path, s)
	if err != nil {
		return nil, fmt.Errorf("schedule: %s: %w", path, err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, fmt.Errorf("schedule: %s: %s: unknown key", path, unknown[0])
	}
	return s, nil
}

// Save writes the schedule to a TOML file.
func (s *Schedule) Save(path string) error {
	w, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("schedule: %w", err)
	}
	return errors.Join(toml.NewEncoder(w).Encode(s), w.Close())
}
