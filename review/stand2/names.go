//go:build review2

package main

import (
	"net"
	"net/netip"
	"strconv"
	"sync"

	"golang.org/x/net/dns/dnsmessage"
)

// A nameService answers the query for the list of exchanges, as the protocol page says.
type nameService struct {
	conn *net.UDPConn

	mu      sync.Mutex
	serial  uint32
	members []member
}

func startNames(members []member) (*nameService, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	n := &nameService{conn: conn, serial: 1, members: members}
	go n.serve()
	return n, nil
}

func (n *nameService) address() string { return n.conn.LocalAddr().String() }

func (n *nameService) serve() {
	buffer := make([]byte, 8000)
	for {
		size, from, err := n.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if answer, err := n.answer(buffer[:size]); err == nil {
			_, _ = n.conn.WriteToUDPAddrPort(answer, from)
		}
	}
}

func (n *nameService) answer(query []byte) ([]byte, error) {
	var p dnsmessage.Parser
	header, err := p.Start(query)
	if err != nil {
		return nil, err
	}
	questions, err := p.AllQuestions()
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	m := dnsmessage.Message{
		Header:    dnsmessage.Header{ID: header.ID, Response: true, Authoritative: true},
		Questions: questions,
	}
	service := questions[0].Name
	for _, e := range n.members {
		address := netip.MustParseAddrPort(e.address)
		host := dnsmessage.MustNewName(e.id + "." + e.zone + ".hosts.")
		m.Answers = append(m.Answers, resource(service, dnsmessage.TypeSRV, &dnsmessage.SRVResource{
			Weight: 10, Port: address.Port(), Target: host,
		}))
		m.Additionals = append(m.Additionals,
			resource(host, dnsmessage.TypeA, &dnsmessage.AResource{A: address.Addr().As4()}),
			resource(host, dnsmessage.TypeTXT, &dnsmessage.TXTResource{
				TXT: []string{"kind=basic-1c", "cell=" + strconv.Itoa(e.pool), "started=0"},
			}))
	}
	zone := dnsmessage.MustNewName("svc.local.")
	m.Authorities = append(m.Authorities, resource(zone, dnsmessage.TypeSOA, &dnsmessage.SOAResource{
		NS: zone, MBox: zone, Serial: n.serial,
	}))
	return m.Pack()
}

func resource(name dnsmessage.Name, kind dnsmessage.Type, body dnsmessage.ResourceBody) dnsmessage.Resource {
	return dnsmessage.Resource{
		Header: dnsmessage.ResourceHeader{Name: name, Type: kind, Class: dnsmessage.ClassINET, TTL: 1},
		Body:   body,
	}
}
