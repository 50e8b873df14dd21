// Package config reads the two files that describe a call controller: the platform's JSON file, which RELAY_CONFIG
// names, and the operator's TOML file. It checks values and fills in defaults. It opens no socket and starts nothing.
//
// Errors name the key (KeyError) and, in the operator's file, the line (LineError).
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

// ErrNoPath says that PathVariable is empty or not set.
var ErrNoPath = errors.New(PathVariable + " is not set")

// A Config is the content of the platform's file. platform.go maps its fields to the file's keys.
type Config struct {
	Name             string
	Listen           string // host:port for clients
	Seed             uint64 // of the random numbers
	MemoryMB         int    // memory limit in MiB
	Sockets          int    // limit of open sockets
	DiscoveryAddress string // host:port of the DNS service
	KnownEndpoints   KnownEndpoints
	Settings         admission.Settings
	DialTimeout      time.Duration
	circuitsByClass  map[string]int // circuits that one call may ask for

	PeerListen            string   // host:port for datagrams of the other controllers; "": there are none
	Peers                 []string // host:port of all controllers in the order of their numbers, this one included
	PeerNumber            *int     // index of this controller in Peers; nil: the platform does not say
	PeerMessagesForbidden bool     // the settings forbid messages between controllers
}

// MaxCircuits returns how many circuits a call of the class may ask for, at least 1.
func (c *Config) MaxCircuits(class string) int { return max(c.circuitsByClass[class], 1) }

// RepeatUnsafe reports whether repeating a call of the class may have an effect. It is false for an unknown class.
func (c *Config) RepeatUnsafe(class string) bool {
	for _, k := range c.Settings.Classes {
		if k.Name == class {
			return k.Repeatability != admission.Idempotent
		}
	}
	return false
}

// Deadline returns how long callers of the class keep trying; for an unknown class it is LongestDeadline.
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

// Load reads the platform's file at path, which the caller takes from PathVariable.
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
