package server

import (
	"net"
	"time"

	"github.com/panjf2000/gnet/v2"

	"olivedale/internal/admission"
)

// Times of the discovery service's socket.
const (
	// socketRetryDelay is the time before a socket is opened again after it could not be opened or was lost.
	socketRetryDelay = 200 * time.Millisecond
	// A socket that brings no good answer within a timeout gives way to another. The timeout doubles each time, from
	// minSilenceTimeout to maxSilenceTimeout.
	minSilenceTimeout = time.Second
	maxSilenceTimeout = 8 * time.Second
)

// A discoveryClient is the socket to the discovery service. Queries and answers are the endpoint list's; the client
// owns the address and survives its change and the loss of the socket.
type discoveryClient struct {
	server         *Server
	address        string
	socket         gnet.Conn // nil while there is none
	serial         int       // of the latest opening; what an earlier one brings is dropped
	isOpening      bool
	retryAt        time.Duration // when to open a socket again
	answeredAt     time.Duration // of the last good answer, or of the latest opening of a socket
	silenceTimeout time.Duration
	counters       discoveryCounters
}

// discoveryCounters count the queries and their answers.
type discoveryCounters struct {
	queries        int
	queriesFailed  int // not sent
	answers        int
	invalidAnswers int
}

// discoverySocket is the context of a socket to the discovery service.
type discoverySocket struct{ serial int }

func newDiscoveryClient(s *Server) *discoveryClient {
	return &discoveryClient{server: s, address: s.cfg.DiscoveryAddress}
}

// owns reports whether a socket is the current one.
func (d *discoveryClient) owns(socket gnet.Conn) bool { return d.socket == socket }

// setAddress changes the address at once. Answers from the old one, which may be on their way, are not read any more.
func (d *discoveryClient) setAddress(address string) {
	d.address = address
	d.silenceTimeout = 0
	d.closeSocket()
	d.open()
}

// closeSocket closes the socket.
func (d *discoveryClient) closeSocket() {
	d.serial++
	d.isOpening = false
	if socket := d.socket; socket != nil {
		d.socket = nil
		d.server.loop.CloseSocket(socket)
	}
}

// recordAnswer notes a good answer.
func (d *discoveryClient) recordAnswer(now time.Duration) {
	d.counters.answers++
	d.answeredAt = now
	d.silenceTimeout = 0
}

// open opens a socket. The current one, if any, serves until the new one is open.
func (d *discoveryClient) open() {
	d.isOpening = true
	d.answeredAt = d.server.loop.Now()
	d.serial++
	go d.dial(d.address, d.serial)
}

// dial opens a socket and hands it, or the error, to the loop. It runs beside the loop.
func (d *discoveryClient) dial(address string, serial int) {
	loop := d.server.loop
	c, err := net.Dial("udp", address)
	if err == nil {
		if err = loop.Enroll(c, discoverySocket{serial}); err == nil {
			return // OnOpen follows
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

// handleOpen takes an opened socket; false: it is to be closed.
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

// handleClose forgets a lost socket: its descriptor may become another connection's.
func (d *discoveryClient) handleClose(socket gnet.Conn) {
	if d.owns(socket) && d.server.lifecycle.state != stateStopping {
		d.socket = nil
		d.retryAt = d.server.loop.Now() + socketRetryDelay
		d.server.loop.Log.Warnw("names_lost", "addr", d.address)
	}
}

// poll asks for the list, over a new socket if the current one was lost or is silent.
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

// replaceSilentSocket opens another socket. The path of one socket may be dead, such as through a filter that forgot
// it, and would keep every later drain from this process. The next timeout is longer, and not the same for all
// controllers.
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

// handleDiscoveryAnswer applies an answer of the discovery service.
func (s *Server) handleDiscoveryAnswer(text []byte) {
	changed, err := s.resolver.HandleAnswer(text)
	if err != nil {
		s.discovery.counters.invalidAnswers++
		if s.discovery.counters.invalidAnswers == 1 { // the counter shows how many there were
			s.loop.Log.Warnw("bad_news", "err", err)
		}
		return
	}
	s.discovery.recordAnswer(s.loop.Now())
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
	s.calls.UpdateServers(servers, false) // before the backends report ends: nothing is to go there again
	for _, e := range changed {
		s.backends.UpdateEndpoint(e)
	}
}
