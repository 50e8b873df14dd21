package cluster

import (
	"errors"
	"io"
	"net"
	"time"
)

// A pump forwards one direction of a connection and applies the impairment of the path to it.
type pump struct {
	conn      *proxiedConn
	direction Direction
	to        net.Conn
	in        <-chan chunk
	observe   func([]byte)
	busyUntil time.Time // until when a limited bandwidth is used up
}

// run forwards chunks until one side ends.
func (p *pump) run() {
	for {
		select {
		case next := <-p.in:
			if !p.awaitDue(&next) || !p.forward(&next) {
				return
			}
		case <-p.conn.ctx.Done():
			return
		}
	}
}

// awaitDue waits until the impairment allows a chunk to be forwarded. It reports false if the connection ends before.
func (p *pump) awaitDue(next *chunk) bool {
	for {
		impairment, changed := p.conn.proxy.impairment(p.direction)
		due := next.readAt.Add(impairment.Delay)
		if impairment.BytesPerSecond > 0 && p.busyUntil.After(due) {
			due = p.busyUntil
		}
		wait := time.Until(due)
		if !impairment.Blocked && wait <= 0 {
			p.reserveBandwidth(len(next.data), impairment.BytesPerSecond)
			return true
		}
		var timer <-chan time.Time
		if !impairment.Blocked {
			timer = time.After(wait)
		}
		select {
		case <-timer:
		case <-changed:
		case <-p.conn.ctx.Done():
			return false
		}
	}
}

// reserveBandwidth reserves the time that bytes take at a bandwidth. A bandwidth of 0 is unlimited.
func (p *pump) reserveBandwidth(bytes, bytesPerSecond int) {
	if bytesPerSecond > 0 {
		p.busyUntil = time.Now().Add(time.Duration(bytes) * time.Second / time.Duration(bytesPerSecond))
	}
}

// forward writes a chunk to the receiver. It reports false if the connection has ended.
func (p *pump) forward(next *chunk) bool {
	if len(next.data) > 0 {
		p.observe(next.data)
		if _, err := p.to.Write(next.data); err != nil {
			return false
		}
	}
	if next.err == nil {
		return true
	}
	p.observe(nil)
	if !errors.Is(next.err, io.EOF) {
		resetConn(p.to)
	}
	return false
}
