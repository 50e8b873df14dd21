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

// Keys of the platform's file and the fields of Config that they fill. Keys that are not listed are ignored.
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
	KnownEndpoints   KnownEndpoints  `json:"known"`
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
	PeerNumber *int              `json:"myNumber"`
	Limits     connectionLimits  `json:"limits"`
	Domain     circuitAllowances `json:"domain"`
}

type connectionLimits struct {
	ConnectTimeout float64 `json:"connectTimeout"` // milliseconds
	PeerMessages   *bool   `json:"peerMessages"`   // nil: permitted
}

type circuitAllowances struct {
	CircuitsByClass []int `json:"circuitsByClass"` // in the order of the classes
}

// Minimum values of platformLimits.
const (
	minMemoryMB = 1
	minSockets  = 64
)

var errMissing = errors.New("missing")

// Parse parses and validates the text of the platform's file. Errors in values contain the key.
func Parse(text []byte) (*Config, error) {
	var file platformFile
	if err := json.Unmarshal(text, &file); err != nil {
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
		KnownEndpoints:   f.KnownEndpoints,
		PeerListen:       f.PeerListen,
		Peers:            f.Peers,
	}
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
	if len(text) == 0 {
		return &KeyError{"settings", errMissing}
	}
	var err error
	if c.Settings, err = simproto.ReadSettings(text); err != nil {
		return err
	}
	var settings platformSettings
	if err := json.Unmarshal(text, &settings); err != nil {
		return &KeyError{"settings", err}
	}
	c.DialTimeout = time.Duration(settings.Limits.ConnectTimeout * float64(time.Millisecond))
	if c.DialTimeout <= 0 {
		return keyErrorf("settings.limits.connectTimeout", "%v ms is not positive", settings.Limits.ConnectTimeout)
	}
	c.PeerNumber = settings.PeerNumber
	c.PeerMessagesForbidden = settings.Limits.PeerMessages != nil && !*settings.Limits.PeerMessages
	c.circuitsByClass = settings.Domain.byName(c.Settings.Classes)
	return nil
}

// byName returns the allowances keyed by class name. Classes without an allowance are absent.
func (a circuitAllowances) byName(classes []admission.Class) map[string]int {
	all := make(map[string]int)
	for i, class := range classes {
		if i < len(a.CircuitsByClass) {
			all[class.Name] = a.CircuitsByClass[i]
		}
	}
	return all
}
