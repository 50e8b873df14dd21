package experiment

import (
	"encoding/json"
	"fmt"
	"os"

	"olivedale/internal/sim/result"
	"olivedale/internal/sim/scenario"
)

// A File is an experiment as it is stored.
type File struct {
	Scenario *scenario.Scenario `json:"scenario"`
	Commit   string             `json:"commit"`
	Machine  string             `json:"machine"`
	Vary     string             `json:"vary,omitempty"`   // key that a sweep varies
	Beside   string             `json:"beside,omitempty"` // second key that it varies
	Points   []Point            `json:"points"`
}

// A Point holds the results for one value of the varied key, or for one pair of values of both keys.
type Point struct {
	Value   string           `json:"value,omitempty"`
	Beside  string           `json:"beside,omitempty"` // value of the second key
	Results []*result.Result `json:"results"`
}

// Save writes the file as JSON.
func (f *File) Save(path string) error {
	text, err := json.MarshalIndent(f, "", " ")
	if err != nil {
		return fmt.Errorf("experiment: %w", err)
	}
	if err := os.WriteFile(path, append(text, '\n'), 0o644); err != nil {
		return fmt.Errorf("experiment: %w", err)
	}
	return nil
}

// Load reads a file that was written by Save.
func Load(path string) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("experiment: %w", err)
	}
	var f File
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, fmt.Errorf("experiment: %s: %w", path, err)
	}
	return &f, nil
}
