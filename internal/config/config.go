// Package config reads what the platform tells a call controller at its start.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"time"

	"olivedale/internal/admission"
	"olivedale/internal/simproto"
)

// A Config is the file that RELAY_CONFIG names.
type Config struct {
	Name             string
	Listen           string
	Seed             uint64
	MemoryMB         int
	Sockets          int
	DiscoveryAddress string // address of the name service
	KnownEndpoints   KnownEndpoints
	Settings         admission.Settings
	DialTimeout      time.Duration
	widths           map[string]int // circuits that a call may ask for, by the name of its class
	// PeerListen and Peers are where datagrams of other controllers arrive, and the addresses of all by their
	// numbers, this one's too; empty where the platform has controllers not speak to each other.
	PeerListen            string
	Peers                 []string
	PeerNumber            *int // this one's among them; nil: not told
	PeerMessagesForbidden bool // the settings do not permit that they speak
}

// KnownEndpoints holds the name service's events up to the start.
type KnownEndpoints struct {
	LastEvent int             `json:"n"`
	Events    []EndpointEvent `json:"events"`
}

// An EndpointEvent is one change of the list of exchanges.
type EndpointEvent struct {
	N         int          `json:"n"`
	Endpoints EndpointList `json:"members"`
}

// A EndpointList is the whole list (Complete) or what has changed.
type EndpointList struct {
	Revision  int        `json:"revision"`
	Complete  bool       `json:"complete"`
	Endpoints []Endpoint `json:"members"`
}

// A Endpoint is one exchange.
type Endpoint struct {
	ID      string `json:"id"`
	Address string `json:"host_port"`
	Zone    string `json:"locality"`
	Kind    string `json:"flavor"`
	Pool    int    `json:"cell"`
	Phase   string `json:"phase"`
	Started int64  `json:"up_since_ms"` // Unix milliseconds of a late start, or 0
}

// Phases of a Member.
const (
	PhaseReady       = "Ready"
	PhaseTerminating = "Terminating"
	PhaseGone        = "Gone"
)

// MaxCircuits is how many circuits a call of a class may ask for.
func (c *Config) MaxCircuits(class string) int { return max(c.widths[class], 1) }

// RepeatUnsafe tells whether calls of a class may not simply run twice.
func (c *Config) RepeatUnsafe(class string) bool {
	for _, k := range c.Settings.Classes {
		if k.Name == class {
			return k.Repeatability != admission.Idempotent
		}
	}
	return false
}

// Deadline is how long callers of a class keep trying; of a class that does not exist, the longest of all.
func (c *Config) Deadline(class string) time.Duration {
	for _, k := range c.Settings.Classes {
		if k.Name == class {
			return k.Deadline
		}
	}
	return c.LongestDeadline()
}

// LongestDeadline is the longest deadline of a class.
func (c *Config) LongestDeadline() (d time.Duration) {
	for _, k := range c.Settings.Classes {
		d = max(d, k.Deadline)
	}
	return d
}

// Load reads the file at path.
func Load(path string) (*Config, error) {
	if path == "" {
		return nil, errors.New("config: RELAY_CONFIG is not set")
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

// Parse reads the text of a configuration.
func Parse(text []byte) (*Config, error) {
	var in struct {
		Name   string `json:"name"`
		Listen string `json:"listen"`
		Seed   string `json:"seed"`
		Limits struct {
			MemoryMB int `json:"memory_mb"`
			Sockets  int `json:"sockets"`
		} `json:"limits"`
		Names    string          `json:"names"`
		Known    KnownEndpoints  `json:"known"`
		Listens  string          `json:"peer_listen"`
		Peers    []string        `json:"peers"`
		Settings json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(text, &in); err != nil {
		return nil, err
	}
	c := &Config{Name: in.Name, Listen: in.Listen, MemoryMB: in.Limits.MemoryMB, Sockets: in.Limits.Sockets,
		DiscoveryAddress: in.Names, KnownEndpoints: in.Known, PeerListen: in.Listens, Peers: in.Peers}
	for field, addr := range map[string]string{"listen": in.Listen, "names": in.Names} {
		if _, err := netip.ParseAddrPort(addr); err != nil {
			return nil, fmt.Errorf("%s: %w", field, err)
		}
	}
	var err error
	if c.Seed, err = strconv.ParseUint(in.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed: %w", err)
	}
	if c.MemoryMB <= 0 || c.Sockets < 64 {
		return nil, fmt.Errorf("limits: %d MB and %d sockets are too little", c.MemoryMB, c.Sockets)
	}
	if len(in.Settings) == 0 {
		return nil, errors.New("settings: missing")
	}
	if c.Settings, err = simproto.ReadSettings(in.Settings); err != nil {
		return nil, err
	}
	var limits struct {
		Number *int `json:"myNumber"`
		Limits struct {
			ConnectTimeout float64 `json:"connectTimeout"`
			PeerMessages   *bool   `json:"peerMessages"`
		} `json:"limits"`
		Domain struct {
			Circuits []int `json:"circuitsByClass"`
		} `json:"domain"`
	}
	if err := json.Unmarshal(in.Settings, &limits); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if c.DialTimeout = time.Duration(limits.Limits.ConnectTimeout * float64(time.Millisecond)); c.DialTimeout <= 0 {
		return nil, fmt.Errorf("settings: limits.connectTimeout: %v ms", limits.Limits.ConnectTimeout)
	}
	c.PeerNumber = limits.Number
	c.PeerMessagesForbidden = limits.Limits.PeerMessages != nil && !*limits.Limits.PeerMessages
	c.widths = make(map[string]int)
	for i, k := range c.Settings.Classes { // the one place where settings go by position, as the platform writes them
		if i < len(limits.Domain.Circuits) {
			c.widths[k.Name] = limits.Domain.Circuits[i]
		}
	}
	for _, e := range c.KnownEndpoints.Events {
		for _, m := range e.Endpoints.Endpoints {
			if err := m.Validate(); err != nil {
				return nil, fmt.Errorf("known: event %d: %w", e.N, err)
			}
		}
	}
	return c, nil
}

// Validate tells what is wrong with a member.
func (m *Endpoint) Validate() error {
	if m.ID == "" {
		return errors.New("a member without an id")
	}
	if _, ok := phases[m.Phase]; !ok {
		return fmt.Errorf("%s: phase %q", m.ID, m.Phase)
	}
	if m.Phase == PhaseGone {
		return nil
	}
	if _, err := netip.ParseAddrPort(m.Address); err != nil {
		return fmt.Errorf("%s: %w", m.ID, err)
	}
	return nil
}

var phases = map[string]admission.ServerState{
	PhaseReady: admission.Active, PhaseTerminating: admission.Draining, PhaseGone: admission.Removed,
}

// Server is the member as the module knows it.
func (m *Endpoint) Server() admission.Server {
	return admission.Server{ID: m.ID, Pool: m.Pool, Zone: m.Zone, State: phases[m.Phase],
		Started: admission.Time(m.Started) * time.Millisecond}
}
