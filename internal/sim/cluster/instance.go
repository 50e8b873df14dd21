package cluster

import (
	"encoding/json"
	"fmt"

	"olivedale/internal/config"
	"olivedale/internal/sim/loopback"
	"olivedale/internal/sim/scenario"
)

// An Instance is the specification of a controller for the agent that runs it. Addresses are host:port.
type Instance struct {
	Name            string
	Listen          string // address for clients
	GatewayListen   string // address for H.248 gateways
	Admin           string // address of the admin API
	AdminProxy      string // address at which the agent reaches the admin API; "": Admin
	Discovery       string // address of the name service
	Records         string // directory
	Zone            string
	Seed            uint64
	FleetSize       int                 // number of controllers
	OverloadControl map[string]any      // section [share] of the operator's file; nil: no overload control
	Endpoints       []loopback.Endpoint // exchanges that the platform lists for a controller at its start
}

// Limits of a controller's process.
const (
	memoryLimitMB = 192
	socketLimit   = 1024
)

// Settings that the platform gives to each controller. Times are in milliseconds.
const (
	retryGuardMS     = 300
	connectTimeoutMS = 500
	maxAttempts      = 4
	instanceTopology = "pools"
	endpointKind     = "std"
)

// Spec returns the value in etcd that makes an agent run the instance.
func (i *Instance) Spec(sc *scenario.Scenario) ([]byte, error) {
	text, err := json.Marshal(map[string]any{
		"h248":    map[string]any{"Listen": i.GatewayListen, "Admin": i.Admin},
		"records": map[string]any{"dir": i.Records},
		"reach":   i.AdminProxy,
		"share":   i.OverloadControl,
		"config": map[string]any{
			"name":     i.Name,
			"listen":   i.Listen,
			"seed":     fmt.Sprintf("%x", i.Seed),
			"names":    i.Discovery,
			"limits":   map[string]any{"memory_mb": memoryLimitMB, "sockets": socketLimit},
			"known":    i.knownEndpoints(),
			"settings": i.settings(sc),
		},
	})
	if err != nil {
		return nil, fmt.Errorf("instance %s: %w", i.Name, err)
	}
	return text, nil
}

// knownEndpoints returns the list of endpoints that the platform gives to a controller at its start.
func (i *Instance) knownEndpoints() config.KnownEndpoints {
	var endpoints []config.Endpoint
	for _, e := range i.Endpoints {
		endpoints = append(endpoints, config.Endpoint{
			ID: e.ID, Address: e.Addr, Zone: e.Zone, Kind: endpointKind, Pool: e.Pool, Phase: config.PhaseReady,
		})
	}
	list := config.EndpointList{Complete: true, Endpoints: endpoints}
	return config.KnownEndpoints{LastEvent: 1, Events: []config.EndpointEvent{{N: 1, Endpoints: list}}}
}

// settings returns the platform's settings of the controller.
func (i *Instance) settings(sc *scenario.Scenario) map[string]any {
	var classes []map[string]any
	for _, class := range sc.Class {
		classes = append(classes, map[string]any{
			"name":      class.Name,
			"aim":       class.LatencyObjective.D().Milliseconds(),
			"deadline":  class.Deadline.D().Milliseconds(),
			"credit":    class.Weight,
			"lateWorth": class.LateShare,
		})
	}
	return map[string]any{
		"groupSize": i.FleetSize,
		"classes":   classes,
		"myZone":    i.Zone,
		"domain": map[string]any{
			"topology":     instanceTopology,
			"releaseGuard": retryGuardMS,
			"resend":       sc.Exchange.RetransmitInterval.D().Milliseconds(),
		},
		"limits": map[string]any{"maxAttempts": maxAttempts, "cancel": true, "connectTimeout": connectTimeoutMS},
		"safety": map[string]any{
			"startCapacity": sc.Exchange.SlowStartShare,
			"cold":          sc.Exchange.SlowStartPeriod.D().Milliseconds(),
		},
	}
}
