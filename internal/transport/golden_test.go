package transport

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"olivedale/internal/goldentest"
)

// goldenCases are payloads with the keys that sign them. Their names appear in the golden file.
var goldenCases = []struct {
	name    string
	keys    [][]byte
	payload string
}{
	{"not signed", nil, "hello"},
	{"signed with the first of two keys", [][]byte{keyA, keyB}, "hello"},
	{"empty and signed", [][]byte{keyB}, ""},
	{"the longest that is signed", [][]byte{keyA}, string(make([]byte, MaxDatagramBytes-SignatureBytes))},
}

// openWithRawPeer opens a Conn whose only peer is a plain socket of the test.
func openWithRawPeer(t *testing.T, keys [][]byte) (*Conn, *net.UDPConn) {
	t.Helper()
	raw, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = raw.Close() })
	c, err := Open(Options{Listen: "127.0.0.1:0", Peers: []string{raw.LocalAddr().String()}, Keys: keys})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c, raw
}

// Datagrams are sent as the committed bytes, and receiving these bytes yields the payload that was sent.
func TestGoldenDatagrams(t *testing.T) {
	var sent []goldentest.Message
	var conns []*Conn
	var raws []*net.UDPConn
	for _, g := range goldenCases {
		c, raw := openWithRawPeer(t, g.keys)
		conns, raws = append(conns, c), append(raws, raw)
		c.Send(0, []byte(g.payload))
		b := make([]byte, 2*MaxDatagramBytes)
		if err := raw.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
			t.Fatal(err)
		}
		n, err := raw.Read(b)
		if err != nil {
			t.Fatalf("%s: %v", g.name, err)
		}
		sent = append(sent, goldentest.Message{Name: g.name, Bytes: b[:n]})
	}
	for i, m := range goldentest.CompareMessages(t, "datagrams.txt", sent) {
		if _, err := raws[i].WriteToUDPAddrPort(m.Bytes, netip.MustParseAddrPort(conns[i].Addr())); err != nil {
			t.Fatal(err)
		}
		if d := receive(t, conns[i]); d.From != 0 || string(d.Payload) != goldenCases[i].payload {
			t.Errorf("%s: %q came from %d", m.Name, d.Payload, d.From)
		}
	}
}
