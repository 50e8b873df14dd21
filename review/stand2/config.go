//go:build review2

package main

import (
	"encoding/json"
	"os"
	"path/filepath"
)

type object map[string]any

// A member is an exchange as the platform lists it.
type member struct {
	id, address, zone string
	pool              int
}

// A platform holds what a controller is told. The settings are those of the site andina-condominios.
type platform struct {
	name, listen, names string
	memoryMB, sockets   int
	pools               []int // that every class may use
	members             []member
}

var classNames = []string{"resident-call", "concierge-call", "delivery-call"}

func (p *platform) file() object {
	var members, pools []any
	for _, m := range p.members {
		members = append(members, object{
			"id": m.id, "host_port": m.address, "locality": m.zone, "flavor": "basic-1c", "cell": m.pool,
			"phase": "Ready", "size": 1, "up_since_ms": 0,
		})
	}
	if members == nil {
		members = []any{}
	}
	var classes []any
	for i, name := range classNames {
		classes = append(classes, object{
			"name": name, "aim": []float64{1500, 1200, 2000}[i], "deadline": 9000.0, "credit": []float64{1, 3, 1}[i],
			"lateWorth": 0.25, "effect": "pure", "group": "all", "dedupWindow": 5000.0, "stream": true,
		})
		pools = append(pools, p.pools)
	}
	return object{
		"name": p.name, "listen": p.listen, "seed": "8c1f30d27a5be964", "names": p.names,
		"limits": object{"cores": 1.0, "memory_mb": p.memoryMB, "sockets": p.sockets},
		"known": object{"n": 1, "events": []any{
			object{"n": 1, "members": object{"revision": 1, "complete": true, "members": members}},
		}},
		"settings": object{
			"callers": object{"marksRetry": false}, "classes": classes, "discovery": "push", "family": "trunks",
			"domain": object{
				"advice": false, "callLength": []float64{8500, 12800, 6000}, "circuitsByClass": []int{1, 1, 1},
				"peerLoad": "none", "releaseGuard": 300.0, "resend": 500.0, "retryHint": false, "skilledPools": pools,
				"thisNode": -1, "topology": "pools",
			},
			"groupSize": 1, "kinds": []string{"basic-1c"},
			"limits": object{
				"cancel": true, "connIdle": 600000.0, "connectTimeout": 500.0, "cpuUsPerS": 400000, "maxAttempts": 4,
				"maxOpen": 20000, "maxRetryAfter": 2000.0, "mayDuplicate": false, "peerMessages": true, "probes": false,
				"retryAfter": true, "streamsPerConn": 1048576,
			},
			"myNumber": 0, "myZone": "santiago",
			"safety": object{
				"askWithin": 10000.0, "cold": 15000.0, "drainGrace": 2000.0, "fall": 1000.0, "fallMultiple": 3.0,
				"graceToAnswer": 20.0, "startCapacity": 0.31,
			},
			"tier": 0, "tiers": []string{"call-setup"}, "weights": "none", "worthBy": "request",
			"zones": []string{"santiago", "concepcion", "temuco"},
		},
	}
}

// write writes the platform's file below a folder and returns its path.
func (p *platform) write(dir string) (string, error) {
	text, err := json.Marshal(p.file())
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "config.json")
	return path, os.WriteFile(path, text, 0o600)
}
