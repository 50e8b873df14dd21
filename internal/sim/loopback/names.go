package loopback

import (
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"golang.org/x/net/dns/dnsmessage"
)

// An Endpoint is the discovery entry of an exchange.
type Endpoint struct {
	ID       string
	Addr     string // host:port on loopback
	Zone     string
	Pool     int
	Draining bool
	Started  time.Time // zero: unspecified, long ago
}

// NameService emulates the platform's name service. It answers each DNS query with the complete list of exchanges and
// the list's serial number, which grows with each change. Its methods are safe for concurrent use.
type NameService struct {
	conn      net.PacketConn
	mu        sync.Mutex
	serial    uint32
	endpoints []Endpoint
	isSilent  bool
	onAnswer  func(serial uint32) // nil: not called
}

// Fields of the DNS answer.
const (
	maxQueryBytes    = 1024
	srvWeight        = 10
	drainingPriority = 1
	hostSuffix       = ".hosts."
	kindText         = "kind=std"
)

// ListenNameService starts a name service on a UDP address; port 0 chooses a free port. Close ends its goroutine.
func ListenNameService(addr string) (*NameService, error) {
	conn, err := net.ListenPacket("udp", addr)
	if err != nil {
		return nil, fmt.Errorf("names: %w", err)
	}
	n := &NameService{conn: conn}
	go n.serve()
	return n, nil
}

// serve answers queries until the socket is closed.
func (n *NameService) serve() {
	buffer := make([]byte, maxQueryBytes)
	for {
		length, from, err := n.conn.ReadFrom(buffer)
		if err != nil {
			return
		}
		if answer, err := n.answer(buffer[:length]); err == nil && n.mayAnswer() {
			_, _ = n.conn.WriteTo(answer, from)
		}
	}
}

// mayAnswer reports whether a query is to be answered, and calls onAnswer if so.
func (n *NameService) mayAnswer() bool {
	n.mu.Lock()
	isSilent, serial, observe := n.isSilent, n.serial, n.onAnswer
	n.mu.Unlock()
	if !isSilent && observe != nil {
		observe(serial)
	}
	return !isSilent
}

// SetSilent sets whether the service ignores queries.
func (n *NameService) SetSilent(isSilent bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isSilent = isSilent
}

// OnAnswer sets a function that is called with the serial number of the list just before each answer is sent.
func (n *NameService) OnAnswer(observe func(serial uint32)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.onAnswer = observe
}

// SetWithSerial sets the list and its serial number, as for a service that takes over from another.
func (n *NameService) SetWithSerial(serial uint32, endpoints ...Endpoint) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.serial = serial
	n.endpoints = slices.Clone(endpoints)
}

// Addr returns the address of the service as host:port.
func (n *NameService) Addr() string { return n.conn.LocalAddr().String() }

// Close stops the service.
func (n *NameService) Close() { _ = n.conn.Close() }

// Set sets the list and increments its serial number.
func (n *NameService) Set(endpoints ...Endpoint) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.serial++
	n.endpoints = slices.Clone(endpoints)
}

// answer returns the encoded answer to a query.
func (n *NameService) answer(query []byte) ([]byte, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var parser dnsmessage.Parser
	header, err := parser.Start(query)
	if err != nil {
		return nil, err
	}
	question, err := parser.Question()
	if err != nil {
		return nil, err
	}
	a := newAnswerBuilder(header.ID, question)
	if err := a.addQuestion(); err != nil {
		return nil, err
	}
	if err := a.addServices(n.endpoints); err != nil {
		return nil, err
	}
	if err := a.addSerial(n.serial); err != nil {
		return nil, err
	}
	if err := a.addHosts(n.endpoints); err != nil {
		return nil, err
	}
	return a.builder.Finish()
}

// An answerBuilder builds the answer to one query.
type answerBuilder struct {
	builder  dnsmessage.Builder
	question dnsmessage.Question
}

func newAnswerBuilder(id uint16, question dnsmessage.Question) *answerBuilder {
	header := dnsmessage.Header{ID: id, Response: true, Authoritative: true}
	a := &answerBuilder{builder: dnsmessage.NewBuilder(nil, header), question: question}
	a.builder.EnableCompression()
	return a
}

func (a *answerBuilder) addQuestion() error {
	if err := a.builder.StartQuestions(); err != nil {
		return err
	}
	return a.builder.Question(a.question)
}

// addServices adds an SRV record for each endpoint.
func (a *answerBuilder) addServices(endpoints []Endpoint) error {
	if err := a.builder.StartAnswers(); err != nil {
		return err
	}
	for _, endpoint := range endpoints {
		addr, err := net.ResolveTCPAddr("tcp", endpoint.Addr)
		if err != nil {
			return err
		}
		host, err := endpoint.hostName()
		if err != nil {
			return err
		}
		srv := dnsmessage.SRVResource{Port: uint16(addr.Port), Weight: srvWeight, Target: host}
		if endpoint.Draining {
			srv.Priority = drainingPriority
		}
		if err := a.builder.SRVResource(resourceHeader(a.question.Name), srv); err != nil {
			return err
		}
	}
	return nil
}

// addSerial adds an SOA record that contains the serial number of the list.
func (a *answerBuilder) addSerial(serial uint32) error {
	if err := a.builder.StartAuthorities(); err != nil {
		return err
	}
	name := a.question.Name
	return a.builder.SOAResource(resourceHeader(name), dnsmessage.SOAResource{NS: name, MBox: name, Serial: serial})
}

// addHosts adds an A and a TXT record for each endpoint.
func (a *answerBuilder) addHosts(endpoints []Endpoint) error {
	if err := a.builder.StartAdditionals(); err != nil {
		return err
	}
	for _, endpoint := range endpoints {
		if err := a.addHost(endpoint); err != nil {
			return err
		}
	}
	return nil
}

func (a *answerBuilder) addHost(endpoint Endpoint) error {
	host, err := endpoint.hostName()
	if err != nil {
		return err
	}
	addr, err := net.ResolveTCPAddr("tcp", endpoint.Addr)
	if err != nil {
		return err
	}
	var ip [4]byte
	copy(ip[:], addr.IP.To4())
	if err := a.builder.AResource(resourceHeader(host), dnsmessage.AResource{A: ip}); err != nil {
		return err
	}
	started := int64(0)
	if !endpoint.Started.IsZero() {
		started = endpoint.Started.UnixMilli()
	}
	texts := []string{kindText, fmt.Sprint("cell=", endpoint.Pool), fmt.Sprint("started=", started)}
	return a.builder.TXTResource(resourceHeader(host), dnsmessage.TXTResource{TXT: texts})
}

// hostName returns the DNS name of the endpoint's host.
func (e Endpoint) hostName() (dnsmessage.Name, error) {
	return dnsmessage.NewName(e.ID + "." + e.Zone + hostSuffix)
}

func resourceHeader(name dnsmessage.Name) dnsmessage.ResourceHeader {
	return dnsmessage.ResourceHeader{Name: name, Class: dnsmessage.ClassINET}
}
