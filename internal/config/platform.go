package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"time"

	"olivedale/internal/admission"
	"olivedale/internal/simproto"
)

// Keys of the platform's file and the fields of Config that they fill. Keys that are not listed are ignored. Those of
// settings are listed in package simproto. Required are name, listen, seed, limits, names, known, settings, and in the
// settings groupSize, classes (each with name, aim, deadline and credit), domain.topology, domain.releaseGuard,
// limits.maxAttempts and limits.connectTimeout.
//
//	key                              Go field
//	name                             Name
//	listen                           Listen
//	seed                             Seed (hexadecimal)
//	limits.memory_mb                 MemoryMB
//	limits.sockets                   Sockets
//	names                            DiscoveryAddress
//	known                            KnownEndpoints (endpoint.go)
//	peer_listen                      PeerListen
//	peers                            Peers
//	settings                         Settings (package simproto), and:
//	settings.myNumber                PeerNumber
//	settings.limits.connectTimeout   DialTimeout (milliseconds)
//	settings.limits.peerMessages     PeerMessagesForbidden (false: forbidden)
//	settings.domain.circuitsByClass  MaxCircuits (in the order of settings.classes)

// platformFile is the JSON form of the platform's file.
type platformFile struct {
	Name             string          `json:"name"`
	Listen           string          `json:"listen"`
	Seed             string          `json:"seed"`
	Limits           platformLimits  `json:"limits"`
	DiscoveryAddress string          `json:"names"`
	KnownEndpoints   *KnownEndpoints `json:"known"`
	PeerListen       string          `json:"peer_listen"`
	Peers            []string        `json:"peers"`
	Settings         json.RawMessage `json:"settings"`
}

// platformLimits are the resources that the platform allots to the process.
type platformLimits struct {
	MemoryMB int `json:"memory_mb"`
	Sockets  int `json:"sockets"`
}

// platformSettings are the settings that package simproto does not read, because the decision module does not use them.
type platformSettings struct {
	PeerNumber *int             `json:"myNumber"`
	Limits     connectionLimits `json:"limits"`
	Domain     domainSettings   `json:"domain"`
	Classes    []classKeys      `json:"classes"`
}

type connectionLimits struct {
	ConnectTimeout float64 `json:"connectTimeout"` // milliseconds
	PeerMessages   *bool   `json:"peerMessages"`   // nil: permitted
}

type domainSettings struct {
	ReleaseGuard    *float64 `json:"releaseGuard"`
	CircuitsByClass []int    `json:"circuitsByClass"` // in the order of the classes
}

// classKeys are the keys of a class whose absence the values do not show.
type classKeys struct {
	Name   string   `json:"name"`
	Credit *float64 `json:"credit"`
}

// Minimum values of platformLimits.
const (
	minMemoryMB = 1
	minSockets  = 64
)

var errMissing = errors.New("missing")

// Parse parses and validates the text of the platform's file. Errors in values contain the key. Start and reload both
// use it, so that a running controller takes nothing from a file that its next start would refuse.
func Parse(text []byte) (*Config, error) {
	var file platformFile
	if err := json.Unmarshal(text, &file); err != nil {
		return nil, err
	}
	if err := file.checkRequired(); err != nil {
		return nil, err
	}
	if err := file.checkAddresses(); err != nil {
		return nil, err
	}
	c := file.config()
	var err error
	if c.Seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
		return nil, &KeyError{"seed", err}
	}
	if err := file.Limits.validate(); err != nil {
		return nil, &KeyError{"limits", err}
	}
	if err := c.readSettings(file.Settings); err != nil {
		return nil, err
	}
	if err := c.KnownEndpoints.validate(); err != nil {
		return nil, &KeyError{"known", err}
	}
	return c, nil
}

// config returns a Config with the values that need no conversion.
func (f *platformFile) config() *Config {
	return &Config{
		Name:             f.Name,
		Listen:           f.Listen,
		MemoryMB:         f.Limits.MemoryMB,
		Sockets:          f.Limits.Sockets,
		DiscoveryAddress: f.DiscoveryAddress,
		KnownEndpoints:   *f.KnownEndpoints,
		PeerListen:       f.PeerListen,
		Peers:            f.Peers,
	}
}

// checkRequired checks for required keys whose absence their values do not show.
func (f *platformFile) checkRequired() error {
	switch {
	case f.Name == "":
		return &KeyError{"name", errMissing}
	case f.KnownEndpoints == nil:
		return &KeyError{"known", errMissing}
	case len(f.Settings) == 0:
		return &KeyError{"settings", errMissing}
	}
	return nil
}

func (f *platformFile) checkAddresses() error {
	if _, err := netip.ParseAddrPort(f.Listen); err != nil {
		return &KeyError{"listen", err}
	}
	if _, err := netip.ParseAddrPort(f.DiscoveryAddress); err != nil {
		return &KeyError{"names", err}
	}
	return nil
}

func (l platformLimits) validate() error {
	if l.MemoryMB < minMemoryMB || l.Sockets < minSockets {
		return fmt.Errorf("memory_mb is %d and sockets is %d; they must be at least %d and %d",
			l.MemoryMB, l.Sockets, minMemoryMB, minSockets)
	}
	return nil
}

// readSettings sets the fields of c that the object "settings" supplies.
func (c *Config) readSettings(text json.RawMessage) error {
	var settings platformSettings
	if err := json.Unmarshal(text, &settings); err != nil {
		return &KeyError{"settings", err}
	}
	if err := settings.checkRequired(); err != nil {
		return err
	}
	var err error
	if c.Settings, err = simproto.ReadSettings(text); err != nil {
		return err
	}
	if err := c.Settings.Validate(); err != nil {
		return &KeyError{"settings", err}
	}
	c.DialTimeout = time.Duration(settings.Limits.ConnectTimeout * float64(time.Millisecond))
	if c.DialTimeout <= 0 {
		return keyErrorf("settings.limits.connectTimeout", "%v ms is not positive", settings.Limits.ConnectTimeout)
	}
	c.PeerNumber = settings.PeerNumber
	c.PeerMessagesForbidden = settings.Limits.PeerMessages != nil && !*settings.Limits.PeerMessages
	c.circuitsByClass = settings.Domain.circuitsByName(c.Settings.Classes)
	return nil
}

// checkRequired checks for required keys whose absence their values do not show.
func (s *platformSettings) checkRequired() error {
	if s.Domain.ReleaseGuard == nil {
		return &KeyError{"settings.domain.releaseGuard", errMissing}
	}
	for _, class := range s.Classes {
		switch {
		case class.Name == "":
			return &KeyError{"settings.classes.name", errMissing}
		case class.Credit == nil:
			return &KeyError{"settings.classes.credit", errMissing}
		}
	}
	return nil
}

// circuitsByName returns the numbers of circuits keyed by class name. Classes without a number are absent.
func (d domainSettings) circuitsByName(classes []admission.Class) map[string]int {
	all := make(map[string]int)
	for i, class := range classes {
		if i < len(d.CircuitsByClass) {
			all[class.Name] = d.CircuitsByClass[i]
		}
	}
	return all
}
