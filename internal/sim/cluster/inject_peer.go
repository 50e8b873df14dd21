package cluster

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"net"
	"time"

	"olivedale/internal/overload"
	"olivedale/internal/sim/overloadpeers"
	"olivedale/internal/transport"
)

const (
	// forgedIncarnation is higher than the incarnation of any controller, so that receivers take forged messages for
	// newer ones.
	forgedIncarnation = 1 << 31
	forgeryInterval   = 500 * time.Millisecond
)

// impersonate sends forged datagrams under a controller's member number, signed with the fleet's key, for the fault's
// duration: load reports and limit updates according to which all servers are overloaded, or none is.
func (r *Run) impersonate(ctx context.Context, f *Fault, c *controller) {
	socket, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		r.violation(ruleHarness, "", "opening the socket of a byzantine peer failed: %v", err)
		return
	}
	defer func() { _ = socket.Close() }()
	servers := r.serverKeys()
	overloaded := f.Fraction > 0
	end := time.Now().Add(f.Duration.D())
	for sequence := uint32(1); time.Now().Before(end); sequence++ {
		report := overloadpeers.FalseLoadReport(c.number, forgedIncarnation, sequence, servers, overloaded)
		update := overloadpeers.FalseLimitUpdate(c.number, forgedIncarnation, sequence, servers, overloaded)
		r.sendToPeers(socket, c, r.sign(report), r.sign(update))
		if !pause(ctx, forgeryInterval) {
			return
		}
	}
}

// serverKeys returns the keys of the current exchanges in overload control.
func (r *Run) serverKeys() []uint32 {
	var keys []uint32
	for _, s := range r.slots {
		_, endpoint, _ := s.current()
		keys = append(keys, overload.ServerKey(endpoint.ID))
	}
	return keys
}

// sign appends a signature with the fleet's key to a datagram.
func (r *Run) sign(datagram []byte) []byte {
	mac := hmac.New(sha256.New, r.signingKey)
	_, _ = mac.Write(datagram)
	return append(datagram, mac.Sum(nil)[:transport.SignatureBytes]...)
}

// sendToPeers sends datagrams to all controllers except one. Errors are ignored: the next datagrams say the same.
func (r *Run) sendToPeers(socket net.PacketConn, except *controller, datagrams ...[]byte) {
	for _, c := range r.controllers {
		addr, err := net.ResolveUDPAddr("udp4", c.overloadListen)
		if err != nil || c == except {
			continue
		}
		for _, datagram := range datagrams {
			_, _ = socket.WriteTo(datagram, addr)
		}
	}
}
