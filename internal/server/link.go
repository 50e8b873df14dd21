package server

import (
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"syscall"
	"time"

	"github.com/panjf2000/gnet/v2"

	"olivedale/internal/call"
)

// A dialect writes and reads what goes over a link. It may keep what it needs to
// know of open calls; reset tells it of a new connection.
type dialect interface {
	invite(b []byte, s call.Setup) ([]byte, error) // fails if the set-up cannot be said
	cancel(b []byte, id string, attempt int) []byte
	release(b []byte, id string, attempt, cause int) []byte
	feed(l *link, p []byte) error
	half() bool // part of a message waits for the rest
	reset()
	sweep(now time.Duration)
}

// Times of a link.
const (
	firstPause = 100 * time.Millisecond // before a failed dial is repeated, doubling
	lastPause  = 2 * time.Second
	confirm    = 32 * time.Second       // a release that nobody confirms is forgotten then
	again      = 2 * time.Second        // an answer that turns a set-up down may come a second time within this
	halfAnswer = 150 * time.Millisecond // the rest of a message comes within this or never
)

// A link is the way to one exchange: one connection that carries all calls, its
// dials, and what waits for it. It is keyed by the exchange's id, for a successor
// may have the same address.
type link struct {
	n        *Node
	id, addr string
	pool     int
	talk     dialect
	s        *stream // nil while the link is down
	serial   int     // of the latest dial; what an earlier one brings is dropped
	dialing  bool
	dialAt   time.Duration // when to dial again
	pause    time.Duration
	broke    bool // a connection was lost and the exchange not reached since
	draining bool
	gone     bool
	queue    []call.Setup
	out      map[string]int // set-ups that are written and not answered: id, attempt
	byes     map[string]bye // releases that are not confirmed
	heard    time.Duration  // when the connection last brought something
	asked    int            // set-ups that have waited since, or were written since
	askedAt  time.Duration  // when the first of them began to
	gap      time.Duration  // the longest of late that something waited for the next to come
	half     time.Duration  // since when part of a message waits for the rest, 0: none does
	whole    bool           // the latest piece has brought a whole message
	meter    serverMeter
}

type bye struct {
	attempt, cause int
	at             time.Duration
	unknown        bool // nobody here has known the call: it may be made up
}

func (n *Node) newLink(id, addr string, pool int, talk dialect) *link {
	return &link{n: n, id: id, addr: addr, pool: pool, talk: talk, out: make(map[string]int), byes: make(map[string]bye)}
}

// invite queues a set-up until this turn of the loop has come to its end, or while the link is
// dialled: what the same turn brings of its caller or of the exchange still stops it.
func (l *link) invite(s call.Setup) {
	if l.draining || l.gone {
		l.tell(s.ID, s.Attempt, call.NotSent) // guards the drain rule, whatever was decided
		return
	}
	l.queue = append(l.queue, s)
	if l.s == nil {
		l.dial()
	} else if len(l.queue) == 1 {
		l.n.later = append(l.n.later, l.unload)
	}
}

// unload sends what is queued while the link is up.
func (l *link) unload() {
	if l.s == nil {
		return // it went down in this turn; the dial that follows takes the queue along
	}
	queue := l.queue
	l.queue = nil
	for _, s := range queue {
		l.send(s)
	}
}

func (l *link) send(s call.Setup) {
	now := l.n.now()
	if now >= s.Deadline || l.s.c.OutboundBuffered() > 0 {
		// Guards against set-ups whose time ran out while they waited for the link, and against those that would
		// lie in a buffer, since the exchange reads nothing, and reach it after it drains or their callers left.
		l.tell(s.ID, s.Attempt, call.NotSent)
		return
	}
	s.Timeout = s.Deadline - now // the time of a dial is gone
	var err error
	l.n.write(l.s, func(b []byte) []byte {
		b, err = l.talk.invite(b, s)
		return b
	})
	if err != nil {
		l.n.Unsayable++
		l.tell(s.ID, s.Attempt, call.NotSent)
		return
	}
	l.out[s.ID] = s.Attempt
	delete(l.byes, s.ID) // an earlier attempt's, written before: said again on another connection it would end this one
	l.n.Invites++
	if l.asked++; l.asked == 1 {
		l.askedAt = now
	}
}

// tell passes an end to the core, but not from within a call of the core.
func (l *link) tell(id string, attempt int, e call.AttemptEnd) {
	l.n.later = append(l.n.later, func() { l.n.core.AttemptEnded(l.id, id, attempt, e) })
}

func (l *link) cancel(id string, attempt int) (unsent bool) {
	i := slices.IndexFunc(l.queue, func(s call.Setup) bool { return s.ID == id && s.Attempt == attempt })
	if i >= 0 {
		l.queue = slices.Delete(l.queue, i, i+1)
		return true
	}
	if a, ok := l.out[id]; ok && a == attempt && l.s != nil {
		delete(l.out, id)
		l.n.write(l.s, func(b []byte) []byte { return l.talk.cancel(b, id, attempt) })
	}
	return false
}

// release ends a call there; it is said again on a new connection until confirmed.
func (l *link) release(id string, b bye) {
	b.at = l.n.now()
	keeps := l.keeps(b)
	if keeps {
		l.byes[id] = b
	}
	switch {
	case l.s != nil:
		l.n.write(l.s, func(out []byte) []byte { return l.talk.release(out, id, b.attempt, b.cause) })
	case !keeps && !b.unknown:
		l.n.ReleasesLost++
	}
}

// keeps guards memory against an exchange that confirms nothing. Releases of calls that nobody knows give way to those
// of calls that stood there: the danger is callers who make up ids while an exchange is away.
func (l *link) keeps(b bye) bool {
	if len(l.byes) < l.n.cfg.MemoryMB<<5 {
		return true
	}
	if !b.unknown {
		for id, old := range l.byes {
			if old.unknown {
				delete(l.byes, id)
				return true
			}
		}
	}
	return false
}

// dial dials elsewhere and hands the connection in.
func (l *link) dial() {
	if l.dialing || l.gone || l.s != nil || l.n.el == nil {
		return
	}
	if l.succeeded() { // guards against set-ups and releases for this exchange that would reach another
		l.unqueue(call.DialRefused)
		l.dialAt = l.n.now() + lastPause
		l.n.later = append(l.n.later, func() { l.n.core.BackendRestarted(l.id, l.n.now()+1) })
		return
	}
	l.dialing = true
	l.serial++
	serial, el, addr := l.serial, l.n.el, l.addr // the address may change under way
	l.n.Dials++
	go func() {
		c, err := l.n.dialTo(addr, l.n.connect)
		if err == nil {
			ctx := gnet.NewContext(context.Background(), &dialled{l, serial})
			if _, err = el.Enroll(ctx, c); err == nil {
				return // OnOpen follows
			}
			_ = c.Close()
		}
		l.n.exec(func() { l.n.turn(func() { l.failed(serial, err) }) })
	}()
}

// dialled is the context of a connection that was dialled, until OnOpen.
type dialled struct {
	link   *link
	serial int
}

// up takes the connection of a dial; false turns it away.
func (l *link) up(serial int, c gnet.Conn) bool {
	if serial != l.serial || !l.dialing || l.gone {
		return false
	}
	l.dialing, l.broke, l.pause = false, false, 0
	l.s = &stream{c: c}
	l.heard, l.half, l.asked, l.gap = l.n.now(), 0, 0, 0
	c.SetContext(l)
	l.talk.reset()
	for id, b := range l.byes {
		l.n.write(l.s, func(out []byte) []byte { return l.talk.release(out, id, b.attempt, b.cause) })
	}
	l.unload()
	return true
}

func (l *link) failed(serial int, err error) {
	if serial != l.serial || !l.dialing {
		return
	}
	l.dialing = false
	l.n.DialsFailed++
	end := dialEnd(err)
	l.unqueue(end)
	if l.broke && end == call.DialRefused {
		// The connection broke and nobody listens any more: the process is dead and its
		// calls with it. No release will come from there, so the callers hear it from here.
		l.broke = false
		l.n.core.BackendRestarted(l.id, l.n.now()+1)
	}
	l.pause = min(max(2*l.pause, firstPause), lastPause)
	l.dialAt = l.n.now() + l.pause
}

func dialEnd(err error) call.AttemptEnd {
	var timeout net.Error
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return call.DialRefused
	case errors.As(err, &timeout) && timeout.Timeout():
		return call.DialTimedOut
	}
	return call.DialFailed
}

func (l *link) unqueue(e call.AttemptEnd) {
	queue := l.queue
	l.queue = nil
	for _, s := range queue {
		l.tell(s.ID, s.Attempt, e)
	}
}

func (l *link) traffic(p []byte) {
	l.whole = false
	if err := l.talk.feed(l, p); err != nil {
		l.n.malformed("exchange "+l.id, err)
		l.down(call.Malformed)
		return
	}
	now := l.n.now()
	l.gap -= l.gap / 16
	if l.asked > 0 {
		l.gap = max(l.gap, now-l.askedAt)
	}
	l.heard, l.asked, l.askedAt = now, len(l.out), now
	if !l.talk.half() {
		l.half = 0
	} else if l.half == 0 || l.whole { // else pieces that each end within the next message look like one that stopped
		l.half = now
	}
}

// patience is how long a connection may bring nothing while set-ups wait: several times
// as long as it has kept others waiting of late, and no less than what a new connection takes
// at the least. Where few wait, the silence must last for longer.
func (l *link) patience() time.Duration {
	connect := l.n.connect
	if l.asked < 3 {
		return 4 * connect
	}
	return min(max(4*l.gap, connect/2), 4*connect)
}

// listen ends a connection that has become useless and stays open. One that stopped in
// the middle of a message brings nothing more that could be read; one that brings nothing
// at all while set-ups wait leads to a process that hangs or to nobody. The danger is an
// exchange whose calls all go into a hole, and whose releases do not come. It could harm at
// an exchange that is slow and hardly used. Where this process itself stood still, what came
// meanwhile is read first: answers that lie in the socket must not be lost for being late to us.
func (l *link) listen(now time.Duration) {
	if l.s == nil || !l.stuck(now) && !l.mute(now) {
		return
	}
	l.n.speaks(l.s, l.traffic)
	switch {
	case l.s == nil:
	case l.stuck(now):
		l.n.malformed("exchange "+l.id, errHalf)
		l.down(call.Unresponsive)
	case l.mute(now):
		l.n.log.Warnw("mute", "id", l.id, "asked", l.asked, "waiting", len(l.out), "silent", now-l.heard, "gap", l.gap)
		l.down(call.Unresponsive)
	}
}

func (l *link) stuck(now time.Duration) bool { return l.half > 0 && now-l.half > halfAnswer }
func (l *link) mute(now time.Duration) bool  { return l.asked > 0 && now-l.askedAt > l.patience() }

var errHalf = errors.New("a message stopped half way")

// closed takes the end of the connection as gnet tells it.
func (l *link) closed(err error) {
	switch {
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		l.down(call.ConnectionReset)
	case err == nil, errors.Is(err, io.EOF):
		l.down(call.ConnectionClosed)
	default:
		l.down(call.ConnectionReset)
	}
}

// down ends the connection and what is open on it, and dials anew.
func (l *link) down(e call.AttemptEnd) {
	if l.s == nil {
		return
	}
	l.n.LinksLost++
	l.n.close(l.s)
	l.s = nil
	l.broke = true
	l.lose(e)
	l.dial()
}

func (l *link) lose(e call.AttemptEnd) {
	for id, attempt := range l.out {
		l.tell(id, attempt, e)
	}
	clear(l.out)
}

// drain stops what is not yet sent; calls that stand go on.
func (l *link) drain() {
	l.draining = true
	l.unqueue(call.NotSent)
}

// end takes the exchange off the list.
func (l *link) end() {
	l.gone = true
	l.unqueue(call.NotSent)
	l.n.core.BackendRemoved(l.id) // releases go out before the connection is closed
	if l.s != nil {
		l.n.close(l.s)
		l.s = nil
	}
	l.lose(call.BackendLost)
}

// succeeded tells whether an exchange's address belongs to another by now, which came later or stays while this one
// drains: its process has ended.
func (l *link) succeeded() bool {
	for _, o := range l.n.links {
		if o != l && o.addr == l.addr && !o.draining && (l.draining || o.meter.started > l.meter.started) {
			return true
		}
	}
	return false
}

// speaker is the exchange that a release comes from: where the call stands, if that is at this link's address. The
// danger is an exchange that took over another's address, and speaks on a connection that was made for that one.
func (l *link) speaker(id string) string {
	at := l.n.core.BackendOf(id)
	if o := l.n.links[at]; o != nil && o.addr == l.addr {
		return at
	}
	return l.id
}

// move gives the exchange another address.
func (l *link) move(addr string) {
	if l.s != nil {
		l.n.speaks(l.s, l.traffic) // what it answered before counts: a call that stands must not be tried again
	}
	l.addr = addr
	l.serial++ // a dial that is on its way goes to the old one
	l.dialing = false
	l.down(call.ConnectionClosed)
	l.dial()
}

// tick dials when it is time and forgets what nobody confirmed.
func (l *link) tick(now time.Duration) {
	if l.s == nil && !l.dialing && now >= l.dialAt {
		l.dial()
	}
	for id, b := range l.byes {
		if now-b.at > confirm {
			delete(l.byes, id)
		}
	}
	l.talk.sweep(now)
}
