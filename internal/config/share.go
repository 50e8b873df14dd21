package config

import (
	"net/netip"
	"slices"
	"time"
)

// OverloadControl has a controller share what it knows with the others.
type OverloadControl struct {
	Listen            string   `toml:"listen" json:"listen"` // where datagrams of the others arrive; "": as the platform says
	Peers             []string `toml:"peers" json:"peers"`   // of all controllers by their numbers, this one's too; none: as the platform says
	Number            *int     `toml:"number" json:"number"` // this controller's; nil: where listen stands in peers
	Keys              string   `toml:"keys" json:"keys"`     // file of keys that sign; "": whom a datagram is from is told by its address
	Rate              int      `toml:"rate" json:"rate"`     // datagrams a second that leave, at most
	ReportInterval    Duration `toml:"period" json:"period"` // between reports while anything is pressed; 0: by the fleet's size
	HeartbeatInterval Duration `toml:"beat" json:"beat"`     // between reports in calm
}

// Bounds of Share.
const (
	mostPeers = 1600 // so many bits fit a datagram
	mostRate  = 50_000
)

// Validate fills in the defaults and tells what is wrong with the section. What the platform is to say is
// checked by Join.
func (s *OverloadControl) Validate() error {
	if s.Rate == 0 {
		s.Rate = 2000
	}
	if s.HeartbeatInterval == 0 {
		s.HeartbeatInterval = Duration(10 * time.Second)
	}
	if s.Listen != "" {
		if _, err := netip.ParseAddrPort(s.Listen); err != nil {
			return &KeyError{"listen", err}
		}
	}
	for _, p := range s.Peers {
		if _, err := netip.ParseAddrPort(p); err != nil {
			return &KeyError{"peers", err}
		}
	}
	switch {
	case len(s.Peers) > mostPeers:
		return bad("peers", "%d are more than %d", len(s.Peers), mostPeers)
	case s.Number != nil && (*s.Number < 0 || *s.Number >= mostPeers):
		return bad("number", "%d is not between 0 and %d", *s.Number, mostPeers-1)
	case s.Rate < 1 || s.Rate > mostRate:
		return bad("rate", "%d is not between 1 and %d datagrams a second", s.Rate, mostRate)
	case s.ReportInterval != 0 && (s.ReportInterval < Duration(100*time.Millisecond) || s.ReportInterval > Duration(10*time.Second)):
		return bad("period", "it is not between 100ms and 10s")
	case s.HeartbeatInterval < Duration(time.Second) || s.HeartbeatInterval > Duration(10*time.Minute):
		return bad("beat", "it is not between 1s and 10m")
	}
	return nil
}

// ResolvePeers fills in what the platform says of the controller's peers and tells the controller's number.
func (s *OverloadControl) ResolvePeers(c *Config) (number int, err error) {
	if s.Listen == "" {
		s.Listen = c.PeerListen
	}
	if len(s.Peers) == 0 {
		s.Peers = c.Peers
	}
	if s.Listen == "" || len(s.Peers) == 0 {
		return 0, bad("share", "the platform names no peers; listen and peers in section [share] can")
	}
	if len(s.Peers) > mostPeers {
		return 0, bad("share.peers", "%d are more than %d", len(s.Peers), mostPeers)
	}
	if s.Number != nil {
		number = *s.Number
	} else if c.PeerNumber != nil && len(s.Peers) == len(c.Peers) {
		number = *c.PeerNumber // peer_listen may be behind an address of peers that the network translates
	} else if number = slices.Index(s.Peers, s.Listen); number < 0 {
		return 0, bad("share.number", "missing, and %s is not among the %d peers", s.Listen, len(s.Peers))
	}
	if number >= len(s.Peers) {
		return 0, bad("share.number", "%d, and there are %d peers", number, len(s.Peers))
	}
	return number, nil
}
