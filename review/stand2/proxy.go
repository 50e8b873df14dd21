//go:build review2

package main

import (
	"net"
	"sync"
)

// A proxy passes connections on to an address. A connection may be handled otherwise: handlers get the number of the
// connection, from 1, and return false to let it pass.
type proxy struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	count  int
	handle func(number int, from net.Conn) bool
}

// setHandler sets the handler of the connections that come from now on.
func (p *proxy) setHandler(handle func(number int, from net.Conn) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.handle = handle
}

func startProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			p.mu.Lock()
			p.count++
			number, handle := p.count, p.handle
			p.mu.Unlock()
			go func() {
				if handle == nil || !handle(number, conn) {
					p.pass(conn, nil)
				}
			}()
		}
	}()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// pass copies both directions until one ends. answer, if not nil, gets what comes back and returns false to reset both
// ends without passing it on.
func (p *proxy) pass(from net.Conn, answer func(data []byte) bool) {
	to, err := net.Dial("tcp4", p.target)
	if err != nil {
		reset(from)
		return
	}
	go func() {
		copyData(to, from, nil)
		_ = to.(*net.TCPConn).CloseWrite()
	}()
	if !copyData(from, to, answer) {
		reset(from)
		reset(to)
		return
	}
	_ = from.Close()
	_ = to.Close()
}

func copyData(to, from net.Conn, check func([]byte) bool) bool {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && check != nil && !check(buffer[:n]) {
			return false
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return true
			}
		}
		if err != nil {
			return true
		}
	}
}

// reset ends a connection by a reset.
func reset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}
