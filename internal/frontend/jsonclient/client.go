package jsonclient

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"time"

	"olivedale/internal/call"
	"olivedale/internal/codec/callid"
	"olivedale/internal/codec/jsonl"
	"olivedale/internal/eventloop"
	"olivedale/internal/frontend"
)

// A reliability ranks connections by how likely their client is to act on a release. A new connection is unproven.
type reliability int

const (
	unproven          reliability = iota
	established                   // has had an established call
	confirming                    // has confirmed a release
	reliabilityLevels             // number of levels
)

// A Client is one connection from a caller that speaks JSON lines.
type Client struct {
	frontend            *Frontend
	conn                *eventloop.Conn
	reader              jsonl.Reader
	openSetups          map[string]bool // unanswered set-ups, by call id
	unconfirmed         []release       // releases sent but not confirmed
	hasEstablishedCall  bool            // a call set up on this connection was established
	hasConfirmedRelease bool
	hasLeft             bool // the client has closed the connection, though not all that it sent has been read
	hasLeftIsKnown      bool // hasLeft was determined for the data that is being handled
	membership          frontend.Membership
	reliability         reliability
	reliabilityElement  eventloop.Element
}

var (
	_ frontend.Connection = (*Client)(nil)
	_ call.Client         = (*Client)(nil)
	_ call.ReleaseSource  = (*Client)(nil)
)

var errTooManyReleases = errors.New("too many releases of unknown calls")

// Conn implements frontend.Connection.
func (c *Client) Conn() *eventloop.Conn { return c.conn }

// HasOpenSetup implements frontend.Connection.
func (c *Client) HasOpenSetup() bool { return len(c.openSetups) > 0 }

// OpenSetups returns the number of unanswered set-ups.
func (c *Client) OpenSetups() int { return len(c.openSetups) }

// HasSetup reports whether the set-up of a call is open on this connection.
func (c *Client) HasSetup(id string) bool { return c.openSetups[id] }

// updateReliability moves the connection to the list of its current reliability.
func (c *Client) updateReliability() {
	level := unproven
	switch {
	case c.hasConfirmedRelease:
		level = confirming
	case c.hasEstablishedCall:
		level = established
	}
	if level == c.reliability || c.reliabilityElement == nil {
		return
	}
	c.frontend.byReliability[c.reliability].Remove(&c.reliabilityElement)
	c.reliability = level
	c.reliabilityElement = c.frontend.byReliability[level].Add(c)
}

// addUnconfirmed stores a sent release and drops those that were sent too long ago to be resent.
func (c *Client) addUnconfirmed(r release) {
	recent := slices.DeleteFunc(c.unconfirmed, func(earlier release) bool {
		return r.requestedAt-earlier.requestedAt > confirmationTimeout
	})
	c.unconfirmed = append(recent, r)
}

// HandleClose implements frontend.Connection. If a write failed, it first processes the data received before, and then
// releases the calls whose answer was not written out, because no caller knows that they are established.
func (c *Client) HandleClose(err error) {
	c.conn.MarkClosed()
	if eventloop.IsFailedWrite(err) {
		eventloop.DrainReadBuffer(c.conn.Socket(), c.handleRemainingData)
		for _, id := range c.conn.UnflushedIDs() {
			c.frontend.host.Calls.ReleaseByCaller(c, id, call.CauseNormal)
		}
	}
	c.remove()
}

// remove removes the connection from the frontend's lists, abandons its open set-ups and resends recent unconfirmed
// releases on other connections.
func (c *Client) remove() {
	f := c.frontend
	f.clients.Remove(&c.membership)
	f.byReliability[c.reliability].Remove(&c.reliabilityElement)
	if c.HasOpenSetup() {
		f.host.Calls.CallerDisconnected(c)
	}
	now := f.host.Loop.Now()
	for _, r := range c.unconfirmed {
		if now-r.requestedAt < confirmationTimeout { // the client may not have read it before the close
			f.sendRelease(release{id: r.id, cause: r.cause, requestedAt: now, origin: r.origin})
		}
	}
}

// HandleData implements frontend.Connection.
func (c *Client) HandleData(data []byte) {
	f := c.frontend
	f.clients.Touch(&c.membership)
	f.byReliability[c.reliability].Touch(c.reliabilityElement)
	var messageErr error
	isComplete := false
	c.hasLeftIsKnown = false
	err := c.reader.Feed(data, func(m *jsonl.Message) bool {
		messageErr = c.handleMessage(m)
		isComplete = true
		return messageErr == nil
	})
	if err == nil {
		err = messageErr
	}
	if err != nil {
		f.host.ReportMalformed("caller", err)
		f.host.Loop.Close(c.conn)
		return
	}
	f.clients.RecordInput(c, &c.membership, isComplete, c.reader.HasPartial())
}

// handleRemainingData handles data that was received before the connection broke. Releases are processed; set-ups are
// ignored because their caller can no longer be answered.
func (c *Client) handleRemainingData(data []byte) {
	_ = c.reader.Feed(data, func(m *jsonl.Message) bool {
		return m.Verb == jsonl.Start || c.handleMessage(m) == nil
	})
}

func (c *Client) handleMessage(m *jsonl.Message) error {
	switch m.Verb {
	case jsonl.Start:
		return c.handleSetup(m)
	case jsonl.Finish:
		return c.handleRelease(m)
	case jsonl.Finished:
		c.handleConfirmation(m.Tag)
	case jsonl.Echo:
		c.handleEcho(m.Tag)
	case jsonl.Pending, jsonl.Load: // not used by the controller
	default:
		return fmt.Errorf("unknown verb %.20q", m.Verb)
	}
	return nil
}

// Result codes of a liveness probe.
const (
	echoFailed = 0
	echoPassed = 1
)

// handleEcho answers a liveness probe. The result is echoFailed when the process is about to exit.
func (c *Client) handleEcho(tag string) {
	host := c.frontend.host
	host.Counters.Echoes++
	result := echoPassed
	if host.IsDisconnected() {
		result = echoFailed
	}
	c.write(&jsonl.Message{Verb: jsonl.Echoed, Tag: tag, ResultCode: result, HasResultCode: true})
}

// checkHasLeft determines, once for the data that is being handled, whether the client has closed the connection.
func (c *Client) checkHasLeft() bool {
	if !c.hasLeftIsKnown {
		c.hasLeft = c.conn.HasPeerClosed()
		c.hasLeftIsKnown = true
	}
	return c.hasLeft
}

func (c *Client) handleSetup(m *jsonl.Message) error {
	host := c.frontend.host
	if c.checkHasLeft() {
		return nil // nobody waits for the answer
	}
	s, err := c.frontend.parseSetup(m)
	if err != nil {
		return err
	}
	if !s.isValid {
		host.Counters.InvalidSetups++
		host.Calls.RejectInvalid(c, s.request)
		return nil
	}
	if host.IsShuttingDown() {
		host.RejectShuttingDown(c, s.request)
		return nil
	}
	id := s.request.ID
	wasOpen := c.openSetups[id]
	c.openSetups[id] = true
	if err := host.Calls.Offer(c, s.request); err != nil {
		if !wasOpen {
			delete(c.openSetups, id)
		}
		return fmt.Errorf("set-up %s: %w", id, err)
	}
	return nil
}

func (c *Client) handleRelease(m *jsonl.Message) error {
	if !callid.Valid(m.Tag) {
		return fmt.Errorf("invalid tag %.20q", m.Tag)
	}
	if c.frontend.host.IsDisconnected() {
		return nil // it cannot be forwarded to an exchange, so do not confirm it
	}
	if c.frontend.host.Calls.IsCallOfOther(c.frontend, m.Tag) {
		return fmt.Errorf("release %s: %w", m.Tag, call.ErrIDInUse)
	}
	delete(c.openSetups, m.Tag)
	switch c.frontend.host.Calls.ReleaseByCaller(c, m.Tag, m.ResultCode) {
	case call.ReleaseForwarded:
		c.ReleaseForwarded(m.Tag)
	case call.ReleaseRefused:
		c.frontend.host.Calls.DiscardReleases(c) // the close tells the caller that they are not confirmed
		return fmt.Errorf("release %s: %w", m.Tag, errTooManyReleases)
	case call.ReleaseAbandoned, call.ReleaseQueued, call.ReleaseRepeated:
	}
	return nil
}

// ReleaseForwarded implements call.ReleaseSource. It confirms the release to the caller.
func (c *Client) ReleaseForwarded(id string) {
	c.write(&jsonl.Message{Verb: jsonl.Finished, Tag: id})
}

func (c *Client) handleConfirmation(id string) {
	before := len(c.unconfirmed)
	c.unconfirmed = slices.DeleteFunc(c.unconfirmed, func(r release) bool { return r.id == id })
	if len(c.unconfirmed) < before {
		c.hasConfirmedRelease = true
	}
	c.updateReliability()
}

func (c *Client) write(m *jsonl.Message) {
	c.frontend.host.Loop.Write(c.conn, func(b []byte) []byte { return jsonl.Append(b, m) })
}

// CallEstablished implements call.Client.
func (c *Client) CallEstablished(id string, description []byte) {
	delete(c.openSetups, id)
	c.hasEstablishedCall = true
	c.updateReliability()
	c.conn.TrackUntilFlushed(id)
	c.write(&jsonl.Message{Verb: jsonl.Started, Tag: id, Blob: description})
}

// CallRejected implements call.Client.
func (c *Client) CallRejected(id string, cause int, wait time.Duration) {
	delete(c.openSetups, id)
	m := &jsonl.Message{Verb: jsonl.Finish, Tag: id, ResultCode: cause, HasResultCode: true}
	if wait > 0 {
		m.Options = []jsonl.Option{{Name: "wait", Value: strconv.FormatInt(wait.Milliseconds(), 10)}}
	}
	c.write(m)
}

// CallWithdrawn implements call.Client. It removes set-ups that were abandoned or requested again on another
// connection; without it the connection's table would grow without limit.
func (c *Client) CallWithdrawn(id string) { delete(c.openSetups, id) }

// Frontend implements call.Client.
func (c *Client) Frontend() call.Frontend { return c.frontend }
