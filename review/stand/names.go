package main

import (
	"encoding/binary"
	"net"
	"strconv"
	"strings"
	"sync"
)

// A nameService answers every query with the whole list and its serial. A silent one answers nothing.
type nameService struct {
	stage *stage
	label string
	conn  net.PacketConn

	mu        sync.Mutex
	silent    bool
	serial    uint32
	endpoints []endpoint
	queries   int
}

func (s *stage) startNames(label string, silent bool, endpoints []endpoint) *nameService {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	check(err)
	n := &nameService{stage: s, label: label, conn: conn, silent: silent, serial: 1, endpoints: endpoints}
	go n.serve()
	return n
}

func (n *nameService) address() string { return n.conn.LocalAddr().String() }

// set publishes a new list as the next event.
func (n *nameService) set(endpoints []endpoint) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.serial++
	n.endpoints = endpoints
}

// takeQueries returns the number of queries since the last call.
func (n *nameService) takeQueries() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := n.queries
	n.queries = 0
	return count
}

func (n *nameService) serve() {
	buffer := make([]byte, 2048)
	told := uint32(0)
	for {
		size, from, err := n.conn.ReadFrom(buffer)
		if err != nil {
			return
		}
		n.mu.Lock()
		n.queries++
		silent, serial := n.silent, n.serial
		answer := n.answer(buffer[:size])
		n.mu.Unlock()
		if silent || answer == nil {
			continue
		}
		_, _ = n.conn.WriteTo(answer, from)
		if serial != told {
			told = serial
			n.stage.logf(n.label, "first answer with event %d sent", serial)
		}
	}
}

func appendName(b []byte, name string) []byte {
	for label := range strings.SplitSeq(strings.TrimSuffix(name, "."), ".") {
		b = append(b, byte(len(label)))
		b = append(b, label...)
	}
	return append(b, 0)
}

// appendRecord appends a resource record of class IN.
func appendRecord(b []byte, name string, kind uint16, data []byte) []byte {
	b = appendName(b, name)
	b = binary.BigEndian.AppendUint16(b, kind)
	b = binary.BigEndian.AppendUint16(b, 1)
	b = binary.BigEndian.AppendUint32(b, 0)
	b = binary.BigEndian.AppendUint16(b, uint16(len(data)))
	return append(b, data...)
}

// answer builds the answer to a query (RFC 1035); nil for what is no query.
func (n *nameService) answer(query []byte) []byte {
	const service = "_api._tcp.svc.local"
	if len(query) < 12 || query[2]&0x80 != 0 {
		return nil
	}
	b := []byte{query[0], query[1], 0x84, 0, 0, 1}
	b = binary.BigEndian.AppendUint16(b, uint16(len(n.endpoints)))
	b = binary.BigEndian.AppendUint16(b, 1)
	b = binary.BigEndian.AppendUint16(b, uint16(2*len(n.endpoints)))
	b = appendName(b, service)
	b = append(b, 0, 33, 0, 1)
	for _, e := range n.endpoints {
		_, port, _ := net.SplitHostPort(e.Address)
		number, _ := strconv.Atoi(port)
		data := []byte{0, 0, 0, 10}
		if e.Draining {
			data[1] = 1
		}
		data = binary.BigEndian.AppendUint16(data, uint16(number))
		b = appendRecord(b, service, 33, appendName(data, e.ID+"."+e.Zone+".hosts"))
	}
	soa := appendName(appendName(nil, "ns.svc.local"), "admin.svc.local")
	for _, v := range []uint32{n.serial, 1, 1, 1, 0} {
		soa = binary.BigEndian.AppendUint32(soa, v)
	}
	b = appendRecord(b, "svc.local", 6, soa)
	for _, e := range n.endpoints {
		host, _, _ := net.SplitHostPort(e.Address)
		name := e.ID + "." + e.Zone + ".hosts"
		b = appendRecord(b, name, 1, net.ParseIP(host).To4())
		var txt []byte
		for _, t := range []string{"kind=basic-1c", "cell=" + strconv.Itoa(e.Pool), "started=0"} {
			txt = append(append(txt, byte(len(t))), t...)
		}
		b = appendRecord(b, name, 16, txt)
	}
	return b
}
