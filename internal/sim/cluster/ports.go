package cluster

import (
	"errors"
	"fmt"
	"net"
)

// maxPortAttempts is the maximum number of attempts to find an unused port.
const maxPortAttempts = 100

// Ports allocates free ports on one loopback host. It returns no port twice.
type Ports struct {
	Host string
	used map[string]bool
}

// Allocate returns a free address, as host:port.
func (p *Ports) Allocate() (string, error) {
	for range maxPortAttempts {
		addr, err := p.probe()
		if err != nil {
			return "", fmt.Errorf("allocating a free port: %w", err)
		}
		if !p.used[addr] {
			if p.used == nil {
				p.used = make(map[string]bool)
			}
			p.used[addr] = true
			return addr, nil
		}
	}
	return "", errors.New("allocating a free port: none found in 100 attempts")
}

// probe returns an address whose port is free at the moment.
func (p *Ports) probe() (string, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(p.Host, "0"))
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}
