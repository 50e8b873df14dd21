// Package transport exchanges datagrams between call controllers over UDP. It owns the socket, paces and signs outgoing
// datagrams, and verifies the sender of incoming ones. It does not interpret the payloads.
package transport

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// MaxDatagramBytes is the maximum length of a datagram, including its signature, that the platform permits.
const MaxDatagramBytes = 256

// Queue capacities, in datagrams.
const (
	maxOutgoing = 2048
	maxIncoming = 1024
)

// Pacing of outgoing datagrams.
const (
	defaultRate = 2000 // datagrams per second
	burstSize   = 64   // datagrams
)

// readErrorDelay is the delay after a failed read, so that a persistent error does not cause a busy loop.
const readErrorDelay = time.Millisecond

// A Datagram is a received datagram without its signature.
type Datagram struct {
	From    int // number of the sending peer; -1: the address is not a peer's
	Payload []byte
}

// Options configure a Conn.
type Options struct {
	Listen string   // local address of the socket
	Peers  []string // addresses of all controllers, by number
	// Keys sign and verify datagrams; the first one signs. During a key rotation all controllers accept two keys.
	// Without keys, datagrams are not signed and only those from the addresses in Peers are accepted.
	Keys [][]byte
	Rate int // limit on datagrams sent per second; 0: 2,000
	// OnArrival is called on a goroutine of the Conn when a datagram arrives and none was waiting for Receive. It is
	// not called again until Receive is, so that a flood of datagrams cannot fill the event loop's queue.
	OnArrival func()
}

// A Conn is a controller's socket to its peers. Its methods may be called from any goroutine.
type Conn struct {
	options     Options
	socket      *net.UDPConn
	peers       []netip.AddrPort
	peerNumbers map[netip.AddrPort]int
	outgoing    chan outgoingDatagram
	done        chan struct{} // closed by Close
	wg          sync.WaitGroup
	counters    counters

	mu       sync.Mutex // guards the fields below
	keys     keyring
	incoming []Datagram
}

// An outgoingDatagram is queued to be signed and sent.
type outgoingDatagram struct {
	to      int
	payload []byte
}

// Open opens the socket and starts the goroutines that send and receive. Close stops them.
func Open(o Options) (*Conn, error) {
	if o.Rate <= 0 {
		o.Rate = defaultRate
	}
	c := &Conn{
		options:     o,
		peerNumbers: make(map[netip.AddrPort]int, len(o.Peers)),
		outgoing:    make(chan outgoingDatagram, maxOutgoing),
		done:        make(chan struct{}),
	}
	if err := c.SetKeys(o.Keys); err != nil {
		return nil, err
	}
	for number, peer := range o.Peers {
		address, err := netip.ParseAddrPort(peer)
		if err != nil {
			return nil, fmt.Errorf("transport: %w", err)
		}
		c.peers = append(c.peers, address)
		c.peerNumbers[address] = number
	}
	if err := c.listen(); err != nil {
		return nil, fmt.Errorf("transport: %w", err)
	}
	c.wg.Go(c.receiveLoop)
	c.wg.Go(c.sendLoop)
	return c, nil
}

// listen opens the socket.
func (c *Conn) listen() error {
	address, err := net.ResolveUDPAddr("udp4", c.options.Listen)
	if err != nil {
		return err
	}
	c.socket, err = net.ListenUDP("udp4", address)
	return err
}

// Addr returns the address that the socket is bound to.
func (c *Conn) Addr() string { return c.socket.LocalAddr().String() }

// Close closes the socket and waits for the goroutines to end. Queued datagrams are not sent.
func (c *Conn) Close() {
	close(c.done)
	_ = c.socket.Close()
	c.wg.Wait()
}

// SetKeys replaces the keys. It may be called while datagrams are sent and received.
func (c *Conn) SetKeys(keys [][]byte) error {
	if err := CheckKeys(keys); err != nil {
		return fmt.Errorf("transport: %w", err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keys = keys
	return nil
}

func (c *Conn) currentKeys() keyring {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.keys
}

// Counters returns a snapshot of the counters.
func (c *Conn) Counters() Counters { return c.counters.snapshot() }

// Send queues a datagram for a peer. It never blocks: if the queue is full, the datagram is dropped and counted.
func (c *Conn) Send(to int, payload []byte) {
	if to < 0 || to >= len(c.peers) {
		return
	}
	select {
	case c.outgoing <- outgoingDatagram{to, payload}:
	default:
		c.counters.dropped.Add(1)
	}
}

// sendLoop sends queued datagrams at the configured rate until Close. Without pacing, an aggregator's updates to all
// members would overflow network buffers and be lost in bulk.
func (c *Conn) sendLoop() {
	limiter := rate.NewLimiter(rate.Limit(c.options.Rate), burstSize)
	for {
		select {
		case d := <-c.outgoing:
			if !c.pause(limiter.Reserve().Delay()) {
				return
			}
			c.write(d)
		case <-c.done:
			return
		}
	}
}

// pause waits for a duration and returns true, or returns false as soon as the Conn is closed.
func (c *Conn) pause(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	select {
	case <-time.After(d):
		return true
	case <-c.done:
		return false
	}
}

// write signs and sends a datagram. A failed write, because the peer does not listen or the socket is being closed,
// counts as a dropped datagram.
func (c *Conn) write(d outgoingDatagram) {
	b := c.currentKeys().sign(d.payload)
	if len(b) > MaxDatagramBytes {
		c.counters.tooLong.Add(1)
		return
	}
	if _, err := c.socket.WriteToUDPAddrPort(b, c.peers[d.to]); err != nil {
		c.counters.dropped.Add(1)
		return
	}
	c.counters.sent.Add(1)
}

// receiveLoop reads datagrams until the socket is closed.
func (c *Conn) receiveLoop() {
	buffer := make([]byte, 2*MaxDatagramBytes)
	for {
		n, from, err := c.socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // for example ICMP port unreachable in reply to an earlier datagram
			c.pause(readErrorDelay)
			continue
		}
		c.accept(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), buffer[:n])
	}
}

// accept verifies a datagram and queues its payload for Receive.
func (c *Conn) accept(from netip.AddrPort, datagram []byte) {
	if len(datagram) > MaxDatagramBytes {
		c.counters.tooLong.Add(1)
		return
	}
	number, isPeer := c.peerNumbers[from]
	if !isPeer {
		number = -1
	}
	payload := datagram
	if keys := c.currentKeys(); len(keys) > 0 {
		verified, isValid := keys.verify(datagram)
		if !isValid {
			c.counters.forged.Add(1)
			return
		}
		payload = verified
	} else if !isPeer {
		c.counters.unknownSenders.Add(1)
		return
	}
	isFirst, isQueued := c.enqueue(number, payload)
	if !isQueued {
		c.counters.overrun.Add(1)
		return
	}
	c.counters.arrived.Add(1)
	if isFirst && c.options.OnArrival != nil {
		c.options.OnArrival()
	}
}

// enqueue queues a copy of a payload for Receive unless the queue is full. isFirst means that the queue was empty.
func (c *Conn) enqueue(from int, payload []byte) (isFirst, isQueued bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.incoming) >= maxIncoming {
		return false, false
	}
	c.incoming = append(c.incoming, Datagram{From: from, Payload: bytes.Clone(payload)})
	return len(c.incoming) == 1, true
}

// Receive returns the datagrams that have arrived since the previous call.
func (c *Conn) Receive() []Datagram {
	c.mu.Lock()
	defer c.mu.Unlock()
	received := c.incoming
	c.incoming = nil
	return received
}
