// Package peer carries datagrams between call controllers: it owns the socket, signs what leaves, checks
// whom what arrives is from, and paces. What the datagrams mean is nothing to it.
package transport

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Bounds of a datagram, as the platform has them.
const (
	MaxDatagramBytes = 256 // bytes; a longer one would void the platform's run
	// SignatureBytes is what a signature takes of it: an HMAC-SHA-256 (RFC 2104), cut to 128 bits (RFC 2104, section 5).
	SignatureBytes = 16
)

// Bounds of what waits.
const (
	maxOutgoing = 2048 // datagrams; more are dropped and counted
	maxIncoming = 1024
	maxKeys     = 2
	minKeyBytes = 16 // bytes
)

// A Datagram is one with whom it is from, by the place in the list of peers; -1: its address is none of these.
type Datagram struct {
	From    int
	Payload []byte
}

// Options of a Conn.
type Options struct {
	Listen string
	Peers  []string // addresses by number
	// Keys sign what leaves, with the first, and what arrives must be signed with one of them. While keys change,
	// all take two. Without keys datagrams come from the addresses of Peers only.
	Keys [][]byte
	Rate int // datagrams a second that leave; 0: 2,000
	// OnArrival is called on a goroutine of the Conn's own when something has arrived that Arrived gives.
	OnArrival func()
}

// Counters count what a Conn did.
type Counters struct {
	Sent, Dropped          uint64 // dropped: too many wait to leave, or the system took none
	Arrived, Overrun       uint64 // overrun: too many wait to be taken
	UnknownSenders, Forged uint64 // from an address that is no peer's; not signed with a key
	TooLong                uint64
}

// A Conn is a controller's socket to its peers. Send and Arrived may be called from anywhere.
type Conn struct {
	options     Options
	socket      *net.UDPConn
	peers       []netip.AddrPort
	peerNumbers map[netip.AddrPort]int
	outgoing    chan outgoingDatagram
	done        chan struct{}
	wg          sync.WaitGroup

	mu       sync.Mutex
	keys     [][]byte
	incoming []Datagram

	sent, dropped, arrived, overrun, unknownSenders, forged, tooLong atomic.Uint64
}

type outgoingDatagram struct {
	to      int
	payload []byte
}

// CheckKeys tells what is wrong with keys.
func CheckKeys(keys [][]byte) error {
	if len(keys) > maxKeys {
		return fmt.Errorf("%d keys, %d at most: the one that signs and the one before or after it", len(keys), maxKeys)
	}
	for i, k := range keys {
		if len(k) < minKeyBytes {
			return fmt.Errorf("key %d has %d bytes, %d at least", i+1, len(k), minKeyBytes)
		}
	}
	return nil
}

// LoadKeys reads keys from a file: one a line in hex, the one that signs first. What follows a # is a comment.
func LoadKeys(path string) (keys [][]byte, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	for i, line := range strings.Split(string(text), "\n") {
		line, _, _ = strings.Cut(line, "#")
		if line = strings.TrimSpace(line); line == "" {
			continue
		}
		k, err := hex.DecodeString(line)
		if err != nil { // the error would show part of a key
			return nil, fmt.Errorf("keys: %s: line %d is no hex", path, i+1)
		}
		keys = append(keys, k)
	}
	if len(keys) == 0 {
		return nil, fmt.Errorf("keys: %s: there is none; write 32 hex digits at least", path)
	}
	if err := CheckKeys(keys); err != nil {
		return nil, fmt.Errorf("keys: %s: %w", path, err)
	}
	return keys, nil
}

// Open opens the socket and starts its two goroutines.
func Open(o Options) (*Conn, error) {
	if err := CheckKeys(o.Keys); err != nil {
		return nil, fmt.Errorf("peer: %w", err)
	}
	p := &Conn{options: o, keys: o.Keys, peerNumbers: make(map[netip.AddrPort]int, len(o.Peers)), outgoing: make(chan outgoingDatagram, maxOutgoing), done: make(chan struct{})}
	for i, s := range o.Peers {
		a, err := netip.ParseAddrPort(s)
		if err != nil {
			return nil, fmt.Errorf("peer: %w", err)
		}
		p.peers = append(p.peers, a)
		p.peerNumbers[a] = i
	}
	at, err := net.ResolveUDPAddr("udp4", o.Listen)
	if err == nil {
		p.socket, err = net.ListenUDP("udp4", at)
	}
	if err != nil {
		return nil, fmt.Errorf("peer: %w", err)
	}
	if p.options.Rate <= 0 {
		p.options.Rate = 2000
	}
	p.wg.Go(p.receiveLoop)
	p.wg.Go(p.sendLoop)
	return p, nil
}

// Addr is where it listens.
func (p *Conn) Addr() string { return p.socket.LocalAddr().String() }

// Close ends it. What has not left by then does not leave.
func (p *Conn) Close() {
	close(p.done)
	_ = p.socket.Close()
	p.wg.Wait()
}

// SetKeys takes other keys from now on.
func (p *Conn) SetKeys(keys [][]byte) error {
	if err := CheckKeys(keys); err != nil {
		return fmt.Errorf("peer: %w", err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.keys = keys
	return nil
}

func (p *Conn) currentKeys() [][]byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.keys
}

func sign(key, b []byte) []byte {
	h := hmac.New(sha256.New, key)
	_, _ = h.Write(b) // it never fails
	return h.Sum(nil)[:SignatureBytes]
}

// Send has a datagram leave. It never blocks: what finds the queue full is dropped and counted.
func (p *Conn) Send(to int, b []byte) {
	if to < 0 || to >= len(p.peers) {
		return
	}
	select {
	case p.outgoing <- outgoingDatagram{to, b}:
	default:
		p.dropped.Add(1)
	}
}

// sendLoop sends what is queued, no faster than the rate: a teller's words to all would fill the buffers of
// the way between, and get lost there together.
func (p *Conn) sendLoop() {
	pace := rate.NewLimiter(rate.Limit(p.options.Rate), 64)
	for {
		var l outgoingDatagram
		select {
		case l = <-p.outgoing:
		case <-p.done:
			return
		}
		if wait := pace.Reserve().Delay(); wait > 0 {
			select {
			case <-time.After(wait):
			case <-p.done:
				return
			}
		}
		b := l.payload
		if keys := p.currentKeys(); len(keys) > 0 {
			b = append(append(make([]byte, 0, len(b)+SignatureBytes), b...), sign(keys[0], b)...)
		}
		if len(b) > MaxDatagramBytes {
			p.tooLong.Add(1)
			continue
		}
		if _, err := p.socket.WriteToUDPAddrPort(b, p.peers[l.to]); err != nil {
			p.dropped.Add(1) // nobody listens there, or the socket is closing: datagrams get lost
			continue
		}
		p.sent.Add(1)
	}
}

func (p *Conn) receiveLoop() {
	b := make([]byte, 2*MaxDatagramBytes)
	for {
		n, from, err := p.socket.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			select { // a refusal that an earlier datagram met; guards against a loop on an error that stays
			case <-p.done:
				return
			case <-time.After(time.Millisecond):
			}
			continue
		}
		p.accept(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), b[:n])
	}
}

// accept checks a datagram and keeps it for Arrived.
func (p *Conn) accept(from netip.AddrPort, b []byte) {
	if len(b) > MaxDatagramBytes {
		p.tooLong.Add(1)
		return
	}
	number, listed := p.peerNumbers[from]
	if !listed {
		number = -1
	}
	if keys := p.currentKeys(); len(keys) > 0 {
		at := len(b) - SignatureBytes
		good := false
		for _, k := range keys {
			good = good || at >= 0 && hmac.Equal(sign(k, b[:at]), b[at:])
		}
		if !good {
			p.forged.Add(1)
			return
		}
		b = b[:at]
	} else if !listed { // without keys the address is all that tells whom it is from
		p.unknownSenders.Add(1)
		return
	}
	p.mu.Lock()
	full, first := len(p.incoming) >= maxIncoming, len(p.incoming) == 0
	if !full {
		p.incoming = append(p.incoming, Datagram{number, append([]byte(nil), b...)})
	}
	p.mu.Unlock()
	if full {
		p.overrun.Add(1)
		return
	}
	p.arrived.Add(1)
	if first && p.options.OnArrival != nil {
		p.options.OnArrival() // once for all that comes until they are taken: a flood must not fill the loop's queue
	}
}

// Receive gives what has arrived since it was last called.
func (p *Conn) Receive() []Datagram {
	p.mu.Lock()
	defer p.mu.Unlock()
	in := p.incoming
	p.incoming = nil
	return in
}

// Counters are what it has counted by now.
func (p *Conn) Counters() Counters {
	return Counters{Sent: p.sent.Load(), Dropped: p.dropped.Load(), Arrived: p.arrived.Load(), Overrun: p.overrun.Load(),
		UnknownSenders: p.unknownSenders.Load(), Forged: p.forged.Load(), TooLong: p.tooLong.Load()}
}
