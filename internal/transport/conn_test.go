package transport

import (
	"bytes"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var keyA, keyB = bytes.Repeat([]byte{1}, 32), bytes.Repeat([]byte{2}, 32)

// openPair is two controllers that know each other, and a stranger's socket.
func openPair(t *testing.T, a, b [][]byte) (x, y *Conn, stranger *net.UDPConn) {
	t.Helper()
	free := func() string {
		c, err := net.ListenPacket("udp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		return c.LocalAddr().String()
	}
	peers := []string{free(), free()}
	open := func(i int, keys [][]byte) *Conn {
		c, err := Open(Options{Listen: peers[i], Peers: peers, Keys: keys})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(c.Close)
		return c
	}
	x, y = open(0, a), open(1, b)
	to, err := net.ResolveUDPAddr("udp4", y.Addr())
	if err != nil {
		t.Fatal(err)
	}
	if stranger, err = net.DialUDP("udp4", nil, to); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = stranger.Close() })
	return x, y, stranger
}

// waitFor waits for a condition.
func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not within 10 s", what)
		}
	}
}

func receive(t *testing.T, c *Conn) Datagram {
	t.Helper()
	var in []Datagram
	waitFor(t, "a datagram", func() bool { in = c.Receive(); return len(in) > 0 })
	return in[0]
}

// Without keys whom a datagram is from is told by its address, and strangers are not heard.
func TestSenderIsIdentifiedByAddressWithoutKeys(t *testing.T) {
	x, y, stranger := openPair(t, nil, nil)
	if _, err := stranger.Write([]byte("forged")); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the stranger's", func() bool { return y.Counters().UnknownSenders == 1 })
	x.Send(1, []byte("hello"))
	if d := receive(t, y); d.From != 0 || string(d.Payload) != "hello" {
		t.Errorf("%q came from %d, want hello from 0", d.Payload, d.From)
	}
}

// With keys, what is not signed is not heard, whatever address it comes from; a key changes in service.
func TestKeyRotation(t *testing.T) {
	x, y, stranger := openPair(t, [][]byte{keyA}, [][]byte{keyA})
	if _, err := stranger.Write(append([]byte("forged"), make([]byte, SignatureBytes)...)); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the forged", func() bool { return y.Counters().Forged == 1 })
	if _, err := stranger.Write(append([]byte("relayed"), sign(keyA, []byte("relayed"))...)); err != nil {
		t.Fatal(err)
	}
	if d := receive(t, y); d.From != -1 || string(d.Payload) != "relayed" {
		t.Errorf("%q came from %d, want relayed from nobody's address", d.Payload, d.From)
	}
	for _, step := range []struct {
		who  *Conn
		keys [][]byte
	}{{y, [][]byte{keyA, keyB}}, {x, [][]byte{keyB, keyA}}, {y, [][]byte{keyB, keyA}}, {x, [][]byte{keyB}}, {y, [][]byte{keyB}}} {
		if err := step.who.SetKeys(step.keys); err != nil {
			t.Fatal(err)
		}
		x.Send(1, []byte("still"))
		if d := receive(t, y); string(d.Payload) != "still" || d.From != 0 {
			t.Errorf("%q came from %d", d.Payload, d.From)
		}
	}
	if n := y.Counters().Forged; n != 1 {
		t.Errorf("%d datagrams were taken for forged while the key changed, want the stranger's", n)
	}
	if err := x.SetKeys([][]byte{keyA, keyB, keyA}); err == nil {
		t.Error("three keys were taken")
	}
}

// What is too long leaves nobody, what nobody takes is bounded, and a flood calls the loop once.
func TestBounds(t *testing.T) {
	x, y, _ := openPair(t, [][]byte{keyA}, [][]byte{keyA})
	x.Send(1, make([]byte, MaxDatagramBytes-SignatureBytes+1))
	waitFor(t, "the long one", func() bool { return x.Counters().TooLong == 1 })
	calls := 0
	from := y.peers[0]
	b := append([]byte("x"), sign(keyA, []byte("x"))...)
	z := &Conn{options: Options{OnArrival: func() { calls++ }}, keys: y.keys, peerNumbers: y.peerNumbers}
	for range maxIncoming + 100 {
		z.accept(from, b)
	}
	if c := z.Counters(); calls != 1 || len(z.Receive()) != maxIncoming || c.Overrun != 100 {
		t.Errorf("%d calls, %d overrun", calls, c.Overrun)
	}
	z.accept(from, make([]byte, MaxDatagramBytes+1))
	z.accept(from, nil)
	if c := z.Counters(); c.TooLong != 1 || c.Forged != 1 {
		t.Errorf("%+v after one that is too long and one that is empty", c)
	}
}

func TestLoadKeys(t *testing.T) {
	path := filepath.Join(t.TempDir(), "keys")
	for text, want := range map[string]int{
		"000102030405060708090a0b0c0d0e0f # signs\n\n101112131415161718191a1b1c1d1e1f\n": 2,
		"": 0, "0001\n": 0, "xyz\n": 0,
	} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		keys, err := LoadKeys(path)
		if len(keys) != want || (err == nil) != (want > 0) {
			t.Errorf("%q: %d keys, %v", text, len(keys), err)
		}
	}
	if _, err := LoadKeys(path + ".not"); err == nil {
		t.Error("a file that is not there was read")
	}
	if _, err := Open(Options{Listen: "127.0.0.1:0", Peers: []string{"nowhere"}}); err == nil {
		t.Error("a peer without an address was taken")
	}
}
