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

// An incarnation number identifies a start of a controller. It counts units of incarnationUnit since incarnationEpoch,
// which is 2024-01-01 in Unix milliseconds, so that it increases with every start for 34 years.
const (
	incarnationEpoch = 1_704_067_200_000
	incarnationUnit  = 250 // milliseconds
)

// unreadableLogInterval is the minimum time between two log lines about malformed datagrams.
const unreadableLogInterval = 10 * time.Second

// noAggregator is logged as the previous aggregator when there was none yet.
const noAggregator = -1

// An overloadControl connects this controller to the overload control shared by all controllers. The member makes the
// decisions on the loop; the socket runs on its own goroutines. A nil *overloadControl is disabled.
type overloadControl struct {
	server           *Server
	options          *config.OverloadControl
	member           *overload.Member
	socket           *transport.Conn // nil until open succeeds
	keys             [][]byte
	unreadableAt     time.Duration // time of the last log line about a malformed datagram
	loggedAggregator int
}

// newOverloadControl reads the keys, creates the member and registers it with the admission control. If the settings of
// the platform forbid messages between controllers, or the peers cannot be resolved, it logs that and returns nil. The
// controller then makes its decisions without its peers, and they without it.
func newOverloadControl(s *Server, o *config.OverloadControl, engine *admission.Engine) (*overloadControl, error) {
	if s.cfg.PeerMessagesForbidden {
		s.loop.Log.Warnw("share_off", "why", "the settings forbid messages between controllers")
		return nil, nil
	}
	number, err := o.ResolvePeers(s.cfg)
	if err != nil {
		s.loop.Log.Errorw("share_off", "err", err)
		return nil, nil
	}
	c := &overloadControl{server: s, options: o, loggedAggregator: noAggregator}
	if o.Keys != "" {
		if c.keys, err = transport.LoadKeys(o.Keys); err != nil {
			return nil, fmt.Errorf("overload: %w", err)
		}
	}
	now := s.loop.Now()
	c.member, err = overload.New(now, overload.Options{
		Self:              number,
		Controllers:       len(o.Peers),
		Incarnation:       uint32((now.Milliseconds() - incarnationEpoch) / incarnationUnit),
		Seed:              s.cfg.Seed,
		LatencyThreshold:  engine.LatencyThreshold(),
		ReportInterval:    time.Duration(o.ReportInterval),
		HeartbeatInterval: time.Duration(o.HeartbeatInterval),
	})
	if err != nil {
		return nil, err
	}
	engine.SetOverloadControl(c.member)
	return c, nil
}

// open opens the socket. It is called when the loop has started. A failure is logged, and the controller then makes its
// decisions without its peers.
func (c *overloadControl) open() {
	if c == nil {
		return
	}
	loop := c.server.loop
	var err error
	c.socket, err = transport.Open(transport.Options{
		Listen:    c.options.Listen,
		Peers:     c.options.Peers,
		Keys:      c.keys,
		Rate:      c.options.Rate,
		OnArrival: func() { loop.ExecuteIteration(c.receive) },
	})
	if err != nil {
		loop.Log.Errorw("share_failed", "err", err)
		return
	}
	loop.Log.Infow("share", "listen", c.socket.Addr(), "number", c.member.State(loop.Now()).Self,
		"peers", len(c.options.Peers), "signed", len(c.keys) > 0)
}

// receive processes the datagrams that have arrived.
func (c *overloadControl) receive() {
	now := c.server.loop.Now()
	for _, d := range c.socket.Receive() {
		err := c.member.Receive(now, d.From, d.Payload)
		if err != nil && now-c.unreadableAt > unreadableLogInterval {
			c.unreadableAt = now
			c.server.loop.Log.Warnw("share_unread", "from", d.From, "err", err)
		}
	}
}

// isOpen reports whether the controller exchanges messages with its peers.
func (c *overloadControl) isOpen() bool { return c != nil && c.socket != nil }

// nextDeadline returns the time at which tick must be called.
func (c *overloadControl) nextDeadline() time.Duration {
	if !c.isOpen() {
		return math.MaxInt64
	}
	return c.member.NextDeadline()
}

// tick sends the datagrams that are due and logs a change of the aggregator.
func (c *overloadControl) tick(now time.Duration) {
	if !c.isOpen() {
		return
	}
	for _, p := range c.member.Tick(now) {
		c.socket.Send(p.To, p.Payload)
	}
	aggregator := c.member.Aggregator()
	if aggregator != c.loggedAggregator {
		c.server.loop.Log.Infow("teller", "number", aggregator, "was", c.loggedAggregator)
		c.loggedAggregator = aggregator
	}
}

func (c *overloadControl) close() {
	if c.isOpen() {
		c.socket.Close()
	}
}

// ReloadKeys reads the keys that sign messages between controllers again, as requested by SIGHUP. An invalid file is
// logged and changes nothing. It may be called from any goroutine once the server has started.
func (s *Server) ReloadKeys() {
	c := s.overload
	if !c.isOpen() || c.options.Keys == "" {
		return
	}
	keys, err := transport.LoadKeys(c.options.Keys)
	if err == nil {
		err = c.socket.SetKeys(keys)
	}
	if err != nil {
		s.loop.Log.Warnw("reload_failed", "err", err)
		return
	}
	s.loop.Log.Infow("reloaded", "keys", len(keys))
}

// audit returns the state of the member as a node.
func (c *overloadControl) audit() []*h248.Node {
	if c == nil {
		return nil
	}
	state := c.member.State(c.server.loop.Now())
	return []*h248.Node{auditNode("oc/share", []statistic{
		{"number", strconv.Itoa(state.Self)},
		{"teller", strconv.Itoa(state.Aggregator)},
		{"live", strconv.Itoa(state.AliveMembers)},
		{"of", strconv.Itoa(state.Peers)},
		{"held", strconv.Itoa(state.Counters.Throttled)},
	})}
}

// logCounters logs the counters.
func (c *overloadControl) logCounters() {
	if !c.isOpen() {
		return
	}
	log, m, t := c.server.loop.Log, c.member.Counters, c.socket.Counters()
	log.Infow("counters", "said", m.Sent, "said_bytes", m.SentBytes, "heard", m.Received,
		"heard_bytes", m.ReceivedBytes, "unread", m.Malformed, "alien", m.Misattributed, "stale", m.Stale,
		"held", m.Throttled, "passed", m.Admitted, "tellers", m.AggregatorChanges,
		"silent", m.AggregatorsUnresponsive, "wrong", m.AggregatorsEjected)
	log.Infow("counters", "sent", t.Sent, "dropped", t.Dropped, "arrived", t.Arrived, "overrun", t.Overrun,
		"strangers", t.UnknownSenders, "forged", t.Forged, "too_long", t.TooLong)
}
