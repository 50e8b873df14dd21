package server

import (
	"net"
	"slices"
	"time"

	"github.com/panjf2000/gnet/v2"

	"olivedale/internal/admission"
	"olivedale/internal/config"
)

// Timeouts of the socket to the discovery service.
const (
	// socketRetryDelay is the delay before reopening a socket that failed to open or was closed.
	socketRetryDelay = 200 * time.Millisecond
	// A socket that receives no valid answer within a timeout is replaced. The timeout doubles with each replacement,
	// from minSilenceTimeout to maxSilenceTimeout.
	minSilenceTimeout = time.Second
	maxSilenceTimeout = 8 * time.Second
)

// A discoveryClient maintains the socket to the discovery service across address changes and socket failures. The
// resolver builds the queries and parses the answers.
type discoveryClient struct {
	server         *Server
	address        string
	socket         gnet.Conn // nil if not open
	serial         int       // number of the latest open request; results of earlier ones are ignored
	isOpening      bool
	retryAt        time.Duration // earliest time to reopen the socket
	answeredAt     time.Duration // time of the last valid answer or of the latest open
	silenceTimeout time.Duration
	counters       discoveryCounters
}

// discoveryCounters counts queries and their answers.
type discoveryCounters struct {
	queries        int
	queriesFailed  int // could not be sent
	answers        int
	invalidAnswers int
}

// discoverySocket is the gnet context of a socket to the discovery service.
type discoverySocket struct{ serial int }

func newDiscoveryClient(s *Server) *discoveryClient {
	return &discoveryClient{server: s, address: s.cfg.DiscoveryAddress}
}

// owns reports whether socket is the current socket.
func (d *discoveryClient) owns(socket gnet.Conn) bool { return d.socket == socket }

// setAddress switches to another address immediately. Answers still in flight from the old address are ignored.
func (d *discoveryClient) setAddress(address string) {
	d.address = address
	d.silenceTimeout = 0
	d.closeSocket()
	d.open()
}

// closeSocket closes the current socket, if any, and invalidates an open request in progress.
func (d *discoveryClient) closeSocket() {
	d.serial++
	d.isOpening = false
	if socket := d.socket; socket != nil {
		d.socket = nil
		d.server.loop.CloseSocket(socket)
	}
}

// recordAnswer records that a valid answer was received.
func (d *discoveryClient) recordAnswer(now time.Duration) {
	d.counters.answers++
	d.answeredAt = now
	d.silenceTimeout = 0
}

// open opens a new socket. The current socket, if any, stays in use until the new one is open.
func (d *discoveryClient) open() {
	d.isOpening = true
	d.answeredAt = d.server.loop.Now()
	d.serial++
	go d.dial(d.address, d.serial)
}

// dial opens a socket and passes it, or the error, to the event loop. It runs on its own goroutine.
func (d *discoveryClient) dial(address string, serial int) {
	loop := d.server.loop
	c, err := net.Dial("udp", address)
	if err == nil {
		if err = loop.Enroll(c, discoverySocket{serial}); err == nil {
			return // gnet calls OnOpen
		}
		_ = c.Close()
	}
	loop.Execute(func() { d.handleOpenFailure(serial, err) })
}

func (d *discoveryClient) handleOpenFailure(serial int, err error) {
	if serial != d.serial {
		return
	}
	d.isOpening = false
	d.retryAt = d.server.loop.Now() + socketRetryDelay
	d.server.loop.Log.Warnw("names_failed", "addr", d.address, "err", err)
}

// handleOpen installs an opened socket. It returns false if the socket is outdated and must be closed.
func (d *discoveryClient) handleOpen(serial int, socket gnet.Conn) bool {
	if serial != d.serial {
		return false
	}
	previous := d.socket
	d.isOpening = false
	d.socket = socket
	d.answeredAt = d.server.loop.Now()
	if previous != nil {
		d.server.loop.CloseSocket(previous)
	}
	d.query()
	return true
}

// handleClose drops the reference to a closed socket, since its descriptor may be reused by another connection.
func (d *discoveryClient) handleClose(socket gnet.Conn) {
	if d.owns(socket) && d.server.lifecycle.state != stateStopping {
		d.socket = nil
		d.retryAt = d.server.loop.Now() + socketRetryDelay
		d.server.loop.Log.Warnw("names_lost", "addr", d.address)
	}
}

// poll queries the endpoint list. It first reopens a socket that was closed and replaces one that gets no answers.
func (d *discoveryClient) poll(now time.Duration) {
	switch {
	case d.isOpening || now < d.retryAt:
	case d.socket == nil:
		d.open()
	case now-d.answeredAt > max(d.silenceTimeout, minSilenceTimeout):
		d.replaceSilentSocket(now)
	}
	d.query()
}

// replaceSilentSocket opens another socket. The path of a socket can fail permanently, for example when a firewall
// drops its state, and the process would then miss every later drain. The next timeout is longer and has a random
// part, so that controllers do not reconnect at the same time.
func (d *discoveryClient) replaceSilentSocket(now time.Duration) {
	d.server.loop.Log.Warnw("names_silent", "addr", d.address, "silent", now-d.answeredAt)
	longer := min(2*max(d.silenceTimeout, minSilenceTimeout), maxSilenceTimeout)
	percent := 90 + d.server.random.IntN(20)
	d.silenceTimeout = longer * time.Duration(percent) / 100
	d.open()
}

func (d *discoveryClient) query() {
	if d.socket == nil {
		d.counters.queriesFailed++
		return
	}
	text, err := d.server.resolver.NewQuery(uint16(d.server.random.Uint32()))
	if err == nil {
		d.counters.queries++
		_, err = d.socket.Write(text)
	}
	if err != nil {
		d.counters.queriesFailed++
	}
}

// handleDiscoveryAnswer applies an answer from the discovery service.
func (s *Server) handleDiscoveryAnswer(text []byte) {
	changed, err := s.resolver.HandleAnswer(text)
	if err != nil {
		s.discovery.counters.invalidAnswers++
		if s.discovery.counters.invalidAnswers == 1 { // logged once; the counter has the total
			s.loop.Log.Warnw("bad_news", "err", err)
		}
		return
	}
	s.discovery.recordAnswer(s.loop.Now())
	changed = s.withoutConfigured(changed)
	if len(changed) == 0 {
		return
	}
	servers := make([]admission.Server, 0, len(changed))
	for _, e := range changed {
		servers = append(servers, e.Server())
		s.recorder.recordServer(e.Server(), e.Address)
		s.loop.Log.Infow("exchange", "id", e.ID, "phase", e.Phase, "cell", e.Pool, "addr", e.Address,
			"started", e.Started)
	}
	s.calls.UpdateServers(servers, false) // before the backends end attempts, so that none is retried there
	for _, e := range changed {
		s.backends.UpdateEndpoint(e)
	}
}

// withoutConfigured returns the changes without those of H.248 servers of the operator's file, which are logged. A
// start refuses a list that contains such a server.
func (s *Server) withoutConfigured(changed []config.Endpoint) []config.Endpoint {
	return slices.DeleteFunc(changed, func(e config.Endpoint) bool {
		if !s.backends.IsConfigured(e.ID) {
			return false
		}
		s.discovery.counters.invalidAnswers++
		s.loop.Log.Warnw("bad_news", "err", &ConfiguredEndpointError{e.ID})
		return true
	})
}
