package cluster

import (
	"errors"
	"fmt"
	"net"
)

// maxPortAttempts bounds the search for a free port.
const maxPortAttempts = 100

// Ports hands out free addresses on one loopback host, none twice.
type Ports struct {
	Host string
	used map[string]bool
}

// Free returns a free address, as host:port.
func (p *Ports) Free() (string, error) {
	for range maxPortAttempts {
		addr, err := p.probe()
		if err != nil {
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

// probe returns an address that is free now.
func (p *Ports) probe() (string, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(p.Host, "0"))
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}
