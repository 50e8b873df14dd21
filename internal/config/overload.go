package config

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// OverloadControl is the section [share], which enables the exchange of load reports between controllers.
type OverloadControl struct {
	Listen            string   `toml:"listen" json:"listen"` // host:port for datagrams; "": Config.PeerListen
	Peers             []string `toml:"peers" json:"peers"`   // host:port by controller number; empty: Config.Peers
	Number            *int     `toml:"number" json:"number"` // of this controller; nil: ResolvePeers determines it
	Keys              string   `toml:"keys" json:"keys"`     // file of signing keys; "": senders are known by address
	Rate              int      `toml:"rate" json:"rate"`     // maximum number of datagrams sent per second
	ReportInterval    Duration `toml:"period" json:"period"` // while a server is overloaded; 0: automatic
	HeartbeatInterval Duration `toml:"beat" json:"beat"`     // while no server is overloaded
}

// Defaults of OverloadControl.
const (
	defaultRate              = 2000
	defaultHeartbeatInterval = Duration(10 * time.Second)
)

// Limits of OverloadControl.
const (
	maxPeers             = 1600 // a datagram contains one bit per peer
	minRate              = 1
	maxRate              = 50_000
	minReportInterval    = Duration(100 * time.Millisecond)
	maxReportInterval    = Duration(10 * time.Second)
	minHeartbeatInterval = Duration(time.Second)
	maxHeartbeatInterval = Duration(10 * time.Minute)
)

// Validate applies the defaults and returns a KeyError for the first invalid key. ResolvePeers checks the values that
// the platform supplies.
func (o *OverloadControl) Validate() error {
	o.Rate = cmp.Or(o.Rate, defaultRate)
	o.HeartbeatInterval = cmp.Or(o.HeartbeatInterval, defaultHeartbeatInterval)
	if err := o.checkAddresses(); err != nil {
		return err
	}
	return o.checkBounds()
}

func (o *OverloadControl) checkAddresses() error {
	if o.Listen != "" {
		if _, err := netip.ParseAddrPort(o.Listen); err != nil {
			return &KeyError{"listen", err}
		}
	}
	for _, peer := range o.Peers {
		if _, err := netip.ParseAddrPort(peer); err != nil {
			return &KeyError{"peers", err}
		}
	}
	return nil
}

func (o *OverloadControl) checkBounds() error {
	switch {
	case len(o.Peers) > maxPeers:
		return keyErrorf("peers", "%d peers; the maximum is %d", len(o.Peers), maxPeers)
	case o.Number != nil && (*o.Number < 0 || *o.Number >= maxPeers):
		return keyErrorf("number", "%d is not between 0 and %d", *o.Number, maxPeers-1)
	case o.Rate < minRate || o.Rate > maxRate:
		return keyErrorf("rate", "%d is not between %d and %d datagrams per second", o.Rate, minRate, maxRate)
	case o.ReportInterval != 0 && !isBetween(o.ReportInterval, minReportInterval, maxReportInterval):
		return keyErrorf("period", "%v is not between 100ms and 10s", o.ReportInterval)
	case !isBetween(o.HeartbeatInterval, minHeartbeatInterval, maxHeartbeatInterval):
		return keyErrorf("beat", "%v is not between 1s and 10m", o.HeartbeatInterval)
	}
	return nil
}

func isBetween(d, least, greatest Duration) bool { return d >= least && d <= greatest }

// ResolvePeers uses the platform's addresses where the section has none and returns this controller's number. Its
// errors are KeyErrors whose keys include the section's name.
func (o *OverloadControl) ResolvePeers(c *Config) (number int, err error) {
	o.Listen = cmp.Or(o.Listen, c.PeerListen)
	if len(o.Peers) == 0 {
		o.Peers = c.Peers
	}
	if o.Listen == "" || len(o.Peers) == 0 {
		return 0, keyErrorf("share", "the platform names no peers; set listen and peers in section [share]")
	}
	if len(o.Peers) > maxPeers {
		return 0, keyErrorf("share.peers", "%d peers; the maximum is %d", len(o.Peers), maxPeers)
	}
	number = o.findNumber(c)
	if number < 0 {
		return 0, keyErrorf("share.number", "missing, and %s is not among the %d peers", o.Listen, len(o.Peers))
	}
	if number >= len(o.Peers) {
		return 0, keyErrorf("share.number", "%d is out of range: there are %d peers", number, len(o.Peers))
	}
	return number, nil
}

// findNumber returns the number from the operator's file, else the platform's, else the index of Listen in Peers, or -1
// if it is not there. The platform's number takes precedence over the index because Listen need not be in Peers if the
// network translates addresses.
func (o *OverloadControl) findNumber(c *Config) int {
	if o.Number != nil {
		return *o.Number
	}
	if c.PeerNumber != nil && len(o.Peers) == len(c.Peers) {
		return *c.PeerNumber
	}
	return slices.Index(o.Peers, o.Listen)
}
