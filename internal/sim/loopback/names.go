package loopback

import (
	"fmt"
	"net"
	"sync"
	"time"

	"golang.org/x/net/dns/dnsmessage"
)

// A Line is one exchange as the directory tells of it.
type Line struct {
	ID      string
	Addr    string // host:port on loopback
	Zone    string
	Pool    int
	Drains  bool
	Started time.Time // zero: long ago
}

// Names is the platform's name service: it answers each query with the whole list, whose serial number
// grows with each change. Its methods may be called from anywhere.
type Names struct {
	c      net.PacketConn
	mu     sync.Mutex
	serial uint32
	lines  []Line
	silent bool
}

// ListenNames starts a name service on an address; port 0 takes a free one.
func ListenNames(addr string) (*Names, error) {
	c, err := net.ListenPacket("udp", addr)
	if err != nil {
		return nil, fmt.Errorf("names: %w", err)
	}
	s := &Names{c: c}
	go func() {
		buf := make([]byte, 1024)
		for {
			n, from, err := c.ReadFrom(buf)
			if err != nil {
				return
			}
			if b, err := s.answer(buf[:n]); err == nil && b != nil {
				_, _ = c.WriteTo(b, from)
			}
		}
	}()
	return s, nil
}

// Addr is where it listens.
func (s *Names) Addr() string { return s.c.LocalAddr().String() }

// Close ends it.
func (s *Names) Close() { _ = s.c.Close() }

// Set changes the list.
func (s *Names) Set(lines ...Line) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serial++
	s.lines = append([]Line(nil), lines...)
}

// Silence has it leave queries without an answer, or answer again.
func (s *Names) Silence(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = on
}

func (s *Names) answer(query []byte) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent {
		return nil, nil
	}
	var p dnsmessage.Parser
	h, err := p.Start(query)
	if err != nil {
		return nil, err
	}
	q, err := p.Question()
	if err != nil {
		return nil, err
	}
	b := dnsmessage.NewBuilder(nil, dnsmessage.Header{ID: h.ID, Response: true, Authoritative: true})
	b.EnableCompression()
	head := func(name dnsmessage.Name) dnsmessage.ResourceHeader {
		return dnsmessage.ResourceHeader{Name: name, Class: dnsmessage.ClassINET}
	}
	steps := []func() error{b.StartQuestions, func() error { return b.Question(q) }, b.StartAnswers}
	hosts := make([]dnsmessage.Name, len(s.lines))
	for i, l := range s.lines {
		addr, err := net.ResolveTCPAddr("tcp", l.Addr)
		if err != nil {
			return nil, err
		}
		if hosts[i], err = dnsmessage.NewName(l.ID + "." + l.Zone + ".hosts."); err != nil {
			return nil, err
		}
		srv := dnsmessage.SRVResource{Port: uint16(addr.Port), Weight: 10, Target: hosts[i]}
		if l.Drains {
			srv.Priority = 1
		}
		steps = append(steps, func() error { return b.SRVResource(head(q.Name), srv) })
	}
	steps = append(steps, b.StartAuthorities, func() error {
		return b.SOAResource(head(q.Name), dnsmessage.SOAResource{NS: q.Name, MBox: q.Name, Serial: s.serial})
	}, b.StartAdditionals)
	for i, l := range s.lines {
		started := int64(0)
		if !l.Started.IsZero() {
			started = l.Started.UnixMilli()
		}
		addr, err := net.ResolveTCPAddr("tcp", l.Addr)
		if err != nil {
			return nil, err
		}
		var ip [4]byte
		copy(ip[:], addr.IP.To4())
		steps = append(steps, func() error { return b.AResource(head(hosts[i]), dnsmessage.AResource{A: ip}) }, func() error {
			return b.TXTResource(head(hosts[i]), dnsmessage.TXTResource{TXT: []string{"kind=std", fmt.Sprint("cell=", l.Pool), fmt.Sprint("started=", started)}})
		})
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return nil, err
		}
	}
	return b.Finish()
}
