package cluster

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"

	"olivedale/internal/config"
	"olivedale/internal/sim/loopback"
	"olivedale/internal/sim/scenario"
)

// An Instance is a call controller that an agent is to run.
type Instance struct {
	Name, Listen, GatewayListen, Admin, Discovery string // addresses: of callers, of the H.248 front, of its admin door, of the directory
	Records                                       string // folder
	AdminProxy                                    string // where its agent reaches its admin door; "": at Admin
	Zone                                          string
	Seed                                          uint64
	FleetSize                                     int            // controllers of the fleet
	OverloadControl                               map[string]any // section [share] of its operator's file; nil: it decides alone
	Endpoints                                     []loopback.Line
}

// Spec is the value by which etcd says that it is wanted.
func (i *Instance) Spec(sc *scenario.Scenario) ([]byte, error) {
	var classes []map[string]any
	for _, k := range sc.Class {
		classes = append(classes, map[string]any{"name": k.Name, "aim": k.Aim.D().Milliseconds(), "deadline": k.GiveUp.D().Milliseconds(), "credit": k.Worth, "lateWorth": k.Late})
	}
	// The platform tells a starting controller the list as it is.
	var members []config.Endpoint
	for _, l := range i.Endpoints {
		members = append(members, config.Endpoint{ID: l.ID, Address: l.Addr, Zone: l.Zone, Kind: "std", Pool: l.Pool, Phase: config.PhaseReady})
	}
	known := config.KnownEndpoints{LastEvent: 1, Events: []config.EndpointEvent{{N: 1, Endpoints: config.EndpointList{Complete: true, Endpoints: members}}}}
	text, err := json.Marshal(map[string]any{
		"h248":    map[string]any{"Listen": i.GatewayListen, "Admin": i.Admin},
		"records": map[string]any{"dir": i.Records},
		"reach":   i.AdminProxy,
		"share":   i.OverloadControl,
		"config": map[string]any{"name": i.Name, "listen": i.Listen, "seed": fmt.Sprintf("%x", i.Seed), "names": i.Discovery,
			"limits": map[string]any{"memory_mb": 192, "sockets": 1024}, "known": known,
			"settings": map[string]any{"groupSize": i.FleetSize, "classes": classes, "myZone": i.Zone,
				"domain": map[string]any{"topology": "pools", "releaseGuard": 300, "resend": sc.Exchange.Again.D().Milliseconds()},
				"limits": map[string]any{"maxAttempts": 4, "cancel": true, "connectTimeout": 500},
				"safety": map[string]any{"startCapacity": sc.Exchange.Start, "cold": sc.Exchange.Warm.D().Milliseconds()}}}})
	if err != nil {
		return nil, fmt.Errorf("instance %s: %w", i.Name, err)
	}
	return text, nil
}

// Ports hands out free addresses on one loopback host, none twice.
type Ports struct {
	Host string
	used map[string]bool
}

// Free is a free address.
func (p *Ports) Free() (string, error) {
	for range 100 {
		ln, err := net.Listen("tcp", net.JoinHostPort(p.Host, "0"))
		if err != nil {
			return "", fmt.Errorf("a free port: %w", err)
		}
		addr := ln.Addr().String()
		if err := ln.Close(); err != nil {
			return "", fmt.Errorf("a free port: %w", err)
		}
		if !p.used[addr] {
			if p.used == nil {
				p.used = make(map[string]bool)
			}
			p.used[addr] = true
			return addr, nil
		}
	}
	return "", errors.New("a free port: none was found in 100 attempts")
}
