// Package config reads the two configuration files of a call controller: the platform's JSON file, whose path is in the
// environment variable RELAY_CONFIG, and the operator's TOML file. It validates the values and applies defaults. It
// opens no sockets and starts no goroutines.
//
// Errors contain the key (KeyError) and, for the operator's file, the line (LineError).
package config

import (
	"errors"
	"fmt"
	"os"
	"time"

	"olivedale/internal/admission"
)

// PathVariable is the environment variable that holds the path of the platform's file.
const PathVariable = "RELAY_CONFIG"

// ErrNoPath reports that PathVariable is empty or not set.
var ErrNoPath = errors.New(PathVariable + " is not set")

// A Config is the parsed platform file. platform.go maps its fields to the file's keys.
type Config struct {
	Name             string
	Listen           string // host:port for clients
	Seed             uint64 // of the random number generators
	MemoryMB         int    // memory limit in MiB
	Sockets          int    // maximum number of open sockets
	DiscoveryAddress string // host:port of the DNS service
	KnownEndpoints   KnownEndpoints
	Settings         admission.Settings
	DialTimeout      time.Duration
	circuitsByClass  map[string]int // maximum number of circuits of one call

	PeerListen            string   // host:port for datagrams from the other controllers; "": there are no others
	Peers                 []string // host:port of all controllers, including this one, ordered by number
	PeerNumber            *int     // index of this controller in Peers; nil: not given by the platform
	PeerMessagesForbidden bool     // the settings forbid messages between controllers
}

// MaxCircuits returns the maximum number of circuits that a call of the class may request, at least 1.
func (c *Config) MaxCircuits(class string) int { return max(c.circuitsByClass[class], 1) }

// RepeatUnsafe reports whether a call of the class is not idempotent, so that repeating it may have an effect. It is
// false for an unknown class.
func (c *Config) RepeatUnsafe(class string) bool {
	for _, k := range c.Settings.Classes {
		if k.Name == class {
			return k.Repeatability != admission.Idempotent
		}
	}
	return false
}

// Deadline returns how long callers of the class keep trying. For an unknown class it returns LongestDeadline.
func (c *Config) Deadline(class string) time.Duration {
	for _, k := range c.Settings.Classes {
		if k.Name == class {
			return k.Deadline
		}
	}
	return c.LongestDeadline()
}

// LongestDeadline returns the longest deadline of all classes.
func (c *Config) LongestDeadline() time.Duration {
	var longest time.Duration
	for _, k := range c.Settings.Classes {
		longest = max(longest, k.Deadline)
	}
	return longest
}

// Load reads the platform's file at path, the value of PathVariable.
func Load(path string) (*Config, error) {
	if path == "" {
		return nil, fmt.Errorf("config: %w", ErrNoPath)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	c, err := Parse(text)
	if err != nil {
		return nil, fmt.Errorf("config: %s: %w", path, err)
	}
	return c, nil
}
