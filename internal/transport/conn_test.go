package transport

import (
	"bytes"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var keyA, keyB = bytes.Repeat([]byte{1}, 32), bytes.Repeat([]byte{2}, 32)

// openPair opens the Conns of two controllers that are peers, and a socket that is connected to the second one but is
// not a peer.
func openPair(t *testing.T, keys ...[]byte) (first, second *Conn, nonPeer *net.UDPConn) {
	t.Helper()
	peers := []string{freeAddress(t), freeAddress(t)}
	open := func(number int) *Conn {
		c, err := Open(Options{Listen: peers[number], Peers: peers, Keys: keys})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(c.Close)
		return c
	}
	first, second = open(0), open(1)
	address, err := net.ResolveUDPAddr("udp4", second.Addr())
	if err != nil {
		t.Fatal(err)
	}
	nonPeer, err = net.DialUDP("udp4", nil, address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = nonPeer.Close() })
	return first, second, nonPeer
}

// freeAddress returns a local address that no socket is bound to.
func freeAddress(t *testing.T) string {
	t.Helper()
	c, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	return c.LocalAddr().String()
}

// waitFor polls until a condition is met, for 10 s at most.
func waitFor(t *testing.T, what string, isMet func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !isMet(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not seen within 10 s", what)
		}
	}
}

// receive waits for a datagram and returns it.
func receive(t *testing.T, c *Conn) Datagram {
	t.Helper()
	var received []Datagram
	waitFor(t, "a datagram", func() bool {
		received = c.Receive()
		return len(received) > 0
	})
	return received[0]
}

// Without keys a sender is identified by its address, and datagrams from unknown addresses are dropped.
func TestSenderIsIdentifiedByAddressWithoutKeys(t *testing.T) {
	first, second, nonPeer := openPair(t)
	if _, err := nonPeer.Write([]byte("forged")); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the datagram from an unknown sender", func() bool { return second.Counters().UnknownSenders == 1 })
	first.Send(1, []byte("hello"))
	if d := receive(t, second); d.From != 0 || string(d.Payload) != "hello" {
		t.Errorf("%q came from %d, want hello from 0", d.Payload, d.From)
	}
}

// With keys, a datagram without a valid signature is dropped whatever its address. Keys can be rotated without losing
// datagrams.
func TestKeyRotation(t *testing.T) {
	first, second, nonPeer := openPair(t, keyA)
	if _, err := nonPeer.Write(append([]byte("forged"), make([]byte, SignatureBytes)...)); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the forged datagram", func() bool { return second.Counters().Forged == 1 })
	if _, err := nonPeer.Write(append([]byte("relayed"), sign(keyA, []byte("relayed"))...)); err != nil {
		t.Fatal(err)
	}
	if d := receive(t, second); d.From != -1 || string(d.Payload) != "relayed" {
		t.Errorf("%q came from %d, want relayed from an unknown address", d.Payload, d.From)
	}
	for _, step := range []struct {
		conn *Conn
		keys [][]byte
	}{
		{second, [][]byte{keyA, keyB}},
		{first, [][]byte{keyB, keyA}},
		{second, [][]byte{keyB, keyA}},
		{first, [][]byte{keyB}},
		{second, [][]byte{keyB}},
	} {
		if err := step.conn.SetKeys(step.keys); err != nil {
			t.Fatal(err)
		}
		first.Send(1, []byte("still"))
		if d := receive(t, second); string(d.Payload) != "still" || d.From != 0 {
			t.Errorf("%q came from %d, want still from 0", d.Payload, d.From)
		}
	}
	if n := second.Counters().Forged; n != 1 {
		t.Errorf("%d datagrams are counted as forged after the rotation, want 1", n)
	}
	if err := first.SetKeys([][]byte{keyA, keyB, keyA}); err == nil {
		t.Error("three keys were accepted")
	}
}

// A datagram that is too long is not sent, the receive queue is bounded, and a flood causes a single notification.
func TestBounds(t *testing.T) {
	first, second, _ := openPair(t, keyA)
	first.Send(1, make([]byte, MaxDatagramBytes-SignatureBytes+1))
	waitFor(t, "an outgoing datagram that is too long", func() bool { return first.Counters().TooLong == 1 })
	notifications := 0
	c := &Conn{
		options:     Options{OnArrival: func() { notifications++ }},
		keys:        second.keys,
		peerNumbers: second.peerNumbers,
	}
	from := second.peers[0]
	datagram := append([]byte("x"), sign(keyA, []byte("x"))...)
	for range maxIncoming + 100 {
		c.accept(from, datagram)
	}
	if n := c.Counters(); notifications != 1 || len(c.Receive()) != maxIncoming || n.Overrun != 100 {
		t.Errorf("%d notifications and %d overrun, or a wrong number received; want 1 and 100", notifications, n.Overrun)
	}
	c.accept(from, make([]byte, MaxDatagramBytes+1))
	c.accept(from, nil)
	if n := c.Counters(); n.TooLong != 1 || n.Forged != 1 {
		t.Errorf("counters %+v after a datagram that is too long and an empty one", n)
	}
}

func TestOpenRejectsPeerWithoutAddress(t *testing.T) {
	if _, err := Open(Options{Listen: "127.0.0.1:0", Peers: []string{"nowhere"}}); err == nil {
		t.Error("an invalid peer address was accepted")
	}
}
