package server

import (
	"fmt"
	"math"
	"strconv"
	"time"

	"olivedale/internal/admission"
	"olivedale/internal/codec/h248"
	"olivedale/internal/config"
	"olivedale/internal/overload"
	"olivedale/internal/transport"
)

// sharing is the controller's part in what all share: the socket beside the loop, the decisions on it.
// The nil *sharing is off.
type sharing struct {
	n      *Node
	o      *config.OverloadControl
	member *overload.Member
	socket *transport.Conn // nil until the loop runs
	keys   [][]byte
	unread time.Duration // when a datagram that could not be read was last logged
	teller int           // as last logged
}

// bootEpoch is 2024-01-01 in Unix milliseconds: starts are numbered from then in quarters of a second, so
// that the numbers grow from start to start for 34 years.
const bootEpoch = 1_704_067_200_000

// newSharing reads the keys and makes the member; desk is told to ask it. Where the platform's settings bar talk
// between controllers it says so and is off.
func newSharing(n *Node, o *config.OverloadControl, desk *admission.Engine) (*sharing, error) {
	if n.cfg.PeerMessagesForbidden {
		n.log.Warnw("share_off", "why", "the settings do not permit messages between controllers")
		return nil, nil
	}
	number, err := o.ResolvePeers(n.cfg)
	if err != nil { // whom it could speak to is not known: it decides alone, as the others do if need be
		n.log.Errorw("share_off", "err", err)
		return nil, nil
	}
	s := &sharing{n: n, o: o, teller: -1}
	if o.Keys != "" {
		if s.keys, err = transport.LoadKeys(o.Keys); err != nil {
			return nil, fmt.Errorf("share: %w", err)
		}
	}
	boot := uint32((n.now().Milliseconds() - bootEpoch) / 250)
	s.member, err = overload.New(n.now(), overload.Options{Self: number, Peers: len(o.Peers), Incarnation: boot, Seed: n.cfg.Seed, LatencyThreshold: desk.LatencyThreshold(),
		ReportInterval: time.Duration(o.ReportInterval), HeartbeatInterval: time.Duration(o.HeartbeatInterval)})
	if err != nil {
		return nil, err
	}
	desk.SetOverloadControl(s.member)
	return s, nil
}

// open opens the socket once the loop runs. Without it the controller decides alone, and says so.
func (s *sharing) open() {
	if s == nil {
		return
	}
	var err error
	s.socket, err = transport.Open(transport.Options{Listen: s.o.Listen, Peers: s.o.Peers, Keys: s.keys, Rate: s.o.Rate, OnArrival: func() { s.n.exec(s.take) }})
	if err != nil {
		s.n.log.Errorw("share_failed", "err", err)
		return
	}
	s.n.log.Infow("share", "listen", s.socket.Addr(), "number", s.member.State(s.n.now()).Self, "peers", len(s.o.Peers), "signed", len(s.keys) > 0)
}

// take hears what has arrived.
func (s *sharing) take() {
	s.n.turn(func() {
		now := s.n.now()
		for _, d := range s.socket.Receive() {
			if err := s.member.Receive(now, d.From, d.Payload); err != nil && now-s.unread > 10*second {
				s.unread = now
				s.n.log.Warnw("share_unread", "from", d.From, "err", err)
			}
		}
	})
}

// next is when tick is due.
func (s *sharing) next() time.Duration {
	if s == nil || s.socket == nil {
		return math.MaxInt64
	}
	return s.member.NextDeadline()
}

func (s *sharing) tick(now time.Duration) {
	if s == nil || s.socket == nil {
		return
	}
	for _, p := range s.member.Tick(now) {
		s.socket.Send(p.To, p.Payload)
	}
	if at := s.member.Aggregator(); at != s.teller {
		s.n.log.Infow("teller", "number", at, "was", s.teller)
		s.teller = at
	}
}

func (s *sharing) close() {
	if s != nil && s.socket != nil {
		s.socket.Close()
	}
}

// ReloadKeys reads the keys of what controllers tell each other again, as SIGHUP asks for. A bad file is logged
// and changes nothing. It may be called from anywhere once the node has started.
func (n *Node) ReloadKeys() {
	s := n.share
	if s == nil || s.o.Keys == "" || s.socket == nil {
		return
	}
	keys, err := transport.LoadKeys(s.o.Keys)
	if err == nil {
		err = s.socket.SetKeys(keys)
	}
	if err != nil {
		n.log.Warnw("reload_failed", "err", err)
		return
	}
	n.log.Infow("reloaded", "keys", len(keys))
}

// audit tells of it in a line, for who looks at the instance.
func (s *sharing) audit() []*h248.Node {
	if s == nil {
		return nil
	}
	st := s.member.State(s.n.now())
	n := &h248.Node{Name: "oc/share"}
	for _, f := range [][2]string{{"number", strconv.Itoa(st.Self)}, {"teller", strconv.Itoa(st.Aggregator)}, {"live", strconv.Itoa(st.AliveMembers)}, {"of", strconv.Itoa(st.Peers)},
		{"held", strconv.Itoa(st.Counters.Throttled)}} {
		n.Kids = append(n.Kids, &h248.Node{Name: "oc/" + f[0], Value: f[1]})
	}
	return []*h248.Node{n}
}

// report writes the counters.
func (s *sharing) report() {
	if s == nil || s.socket == nil {
		return
	}
	c, p := s.member.Counters, s.socket.Counters()
	s.n.log.Infow("counters", "said", c.Sent, "said_bytes", c.SentBytes, "heard", c.Received, "heard_bytes", c.ReceivedBytes, "unread", c.Malformed, "alien", c.Misattributed, "stale", c.Stale,
		"held", c.Throttled, "passed", c.Admitted, "tellers", c.AggregatorChanges, "silent", c.AggregatorsUnresponsive, "wrong", c.AggregatorsEjected)
	s.n.log.Infow("counters", "sent", p.Sent, "dropped", p.Dropped, "arrived", p.Arrived, "overrun", p.Overrun, "strangers", p.UnknownSenders, "forged", p.Forged, "too_long", p.TooLong)
}
