package server

import (
	"fmt"
	"net"
	"sync"
	"testing"

	"golang.org/x/net/dns/dnsmessage"
)

// discoveryServer is a DNS server that answers queries with a list of endpoints.
type discoveryServer struct {
	conn                net.PacketConn
	mu                  sync.Mutex
	serial              uint32
	lines               []endpointLine
	queriesToDrop       int // number of queries to leave unanswered
	maxAnswersPerClient int // maximum number of answers to each address; 0 means no limit
	answersByClient     map[string]int
	heldAnswers         [][]byte // answers withheld while holdsAnswers is set
	holdsAnswers        bool
	lastClient          net.Addr // address of the latest query
}

type endpointLine struct {
	id, addr string
	draining bool
	pool     int
	started  int64
}

func startDiscoveryServer(t testing.TB) *discoveryServer {
	t.Helper()
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &discoveryServer{conn: c, answersByClient: make(map[string]int)}
	go func() {
		buf := make([]byte, 1024)
		for {
			n, from, err := c.ReadFrom(buf)
			if err != nil {
				return
			}
			b := s.answer(buf[:n])
			s.mu.Lock()
			s.lastClient = from
			if s.answersByClient[from.String()]++; s.maxAnswersPerClient > 0 && s.answersByClient[from.String()] > s.maxAnswersPerClient {
				b = nil
			}
			if s.holdsAnswers && b != nil {
				s.heldAnswers = append(s.heldAnswers, b)
				b = nil
			}
			s.mu.Unlock()
			if b != nil {
				_, _ = c.WriteTo(b, from)
			}
		}
	}()
	t.Cleanup(func() { _ = c.Close() })
	return s
}

func (s *discoveryServer) set(lines ...endpointLine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serial++
	s.lines = lines
}

func (s *discoveryServer) answer(query []byte) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.queriesToDrop > 0 {
		s.queriesToDrop--
		return nil
	}
	var p dnsmessage.Parser
	h, err := p.Start(query)
	if err != nil {
		return nil
	}
	q, err := p.Question()
	if err != nil {
		return nil
	}
	b := dnsmessage.NewBuilder(nil, dnsmessage.Header{ID: h.ID, Response: true, Authoritative: true})
	b.EnableCompression()
	_ = b.StartQuestions()
	_ = b.Question(q)
	_ = b.StartAnswers()
	head := func(name string) dnsmessage.ResourceHeader {
		return dnsmessage.ResourceHeader{Name: dnsmessage.MustNewName(name), Class: dnsmessage.ClassINET}
	}
	for _, l := range s.lines {
		addr, _ := net.ResolveTCPAddr("tcp", l.addr)
		srv := dnsmessage.SRVResource{Port: uint16(addr.Port), Weight: 10, Target: dnsmessage.MustNewName(l.id + ".east.hosts.")}
		if l.draining {
			srv.Priority = 1
		}
		_ = b.SRVResource(head(q.Name.String()), srv)
	}
	_ = b.StartAuthorities()
	_ = b.SOAResource(head(q.Name.String()), dnsmessage.SOAResource{NS: q.Name, MBox: q.Name, Serial: s.serial})
	_ = b.StartAdditionals()
	for _, l := range s.lines {
		_ = b.AResource(head(l.id+".east.hosts."), dnsmessage.AResource{A: [4]byte{127, 0, 0, 1}})
		_ = b.TXTResource(head(l.id+".east.hosts."), dnsmessage.TXTResource{TXT: []string{"kind=std", fmt.Sprint("cell=", l.pool), fmt.Sprint("started=", l.started)}})
	}
	out, err := b.Finish()
	if err != nil {
		return nil
	}
	return out
}
