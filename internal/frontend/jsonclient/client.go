package jsonclient

import (
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

// A reliability is how likely a connection is to pass a release on.
type reliability int

const (
	unproven      reliability = iota
	established               // it has had an established call
	confirming                // it has confirmed a release
	reliabilities             // their number
)

// A Client is one connection from a caller.
type Client struct {
	frontend            *Frontend
	conn                *eventloop.Conn
	reader              jsonl.Reader
	openSetups          map[string]bool // set-ups that are not answered, by the call's id
	unconfirmed         []release       // sent and not confirmed
	hasEstablishedCall  bool            // a call that it asked for was established
	hasConfirmedRelease bool
	membership          frontend.Membership
	reliability         reliability
	reliabilityPlace    eventloop.Element
}

var (
	_ frontend.Connection = (*Client)(nil)
	_ call.Client         = (*Client)(nil)
)

// Conn implements frontend.Connection.
func (c *Client) Conn() *eventloop.Conn { return c.conn }

// HasOpenSetup implements frontend.Connection.
func (c *Client) HasOpenSetup() bool { return len(c.openSetups) > 0 }

// OpenSetups returns the number of set-ups that are not answered.
func (c *Client) OpenSetups() int { return len(c.openSetups) }

// HasSetup reports whether the set-up of a call is open on this connection.
func (c *Client) HasSetup(id string) bool { return c.openSetups[id] }

// updateReliability moves the connection among those of its reliability.
func (c *Client) updateReliability() {
	level := unproven
	switch {
	case c.hasConfirmedRelease:
		level = confirming
	case c.hasEstablishedCall:
		level = established
	}
	if level == c.reliability || c.reliabilityPlace == nil {
		return
	}
	c.frontend.byReliability[c.reliability].Remove(&c.reliabilityPlace)
	c.reliability = level
	c.reliabilityPlace = c.frontend.byReliability[level].Add(c)
}

// addUnconfirmed remembers a release that was sent, and forgets those that were sent long ago.
func (c *Client) addUnconfirmed(r release) {
	recent := slices.DeleteFunc(c.unconfirmed, func(earlier release) bool {
		return r.requestedAt-earlier.requestedAt > confirmationTimeout
	})
	c.unconfirmed = append(recent, r)
}

// HandleClose implements frontend.Connection. Where a write failed, what the connection brought before still counts,
// and calls whose answer was not written are released: nobody has heard that they are established.
func (c *Client) HandleClose(err error) {
	c.conn.MarkClosed()
	if eventloop.IsFailedWrite(err) {
		eventloop.DrainReadBuffer(c.conn.Socket(), c.handleLastData)
		for _, id := range c.conn.UnflushedIDs() {
			c.frontend.host.Calls.ReleaseByCaller(id, call.CauseNormal)
		}
	}
	c.remove()
}

// remove takes the connection off the frontend's lists and gives up what is open on it.
func (c *Client) remove() {
	f := c.frontend
	f.clients.Remove(&c.membership)
	f.byReliability[c.reliability].Remove(&c.reliabilityPlace)
	if c.HasOpenSetup() {
		f.host.Calls.CallerDisconnected(c)
	}
	now := f.host.Loop.Now()
	for _, r := range c.unconfirmed {
		if now-r.requestedAt < confirmationTimeout { // it may have crossed the close
			f.sendRelease(release{id: r.id, cause: r.cause, requestedAt: now, origin: r.origin})
		}
	}
}

// HandleData implements frontend.Connection.
func (c *Client) HandleData(data []byte) {
	f := c.frontend
	f.clients.Touch(&c.membership)
	f.byReliability[c.reliability].Touch(c.reliabilityPlace)
	var messageErr error
	isComplete := false
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

// handleLastData handles what the connection brought before it broke: releases count on whatever connection they
// arrive, but the set-ups have lost their caller.
func (c *Client) handleLastData(data []byte) {
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
		c.handleTest(m.Tag)
	case jsonl.Pending, jsonl.Load: // mean nothing here
	default:
		return fmt.Errorf("verb %.20q", m.Verb)
	}
	return nil
}

// Results of a test of the connection.
const (
	testFailed = 0
	testPassed = 1
)

// handleTest answers a test of the connection. It fails where the process is about to end.
func (c *Client) handleTest(tag string) {
	host := c.frontend.host
	host.Counters.Echoes++
	result := testPassed
	if host.IsDisconnected() {
		result = testFailed
	}
	c.write(&jsonl.Message{Verb: jsonl.Echoed, Tag: tag, ResultCode: result, HasResultCode: true})
}

func (c *Client) handleSetup(m *jsonl.Message) error {
	host := c.frontend.host
	s, err := c.frontend.parseSetup(m)
	if err != nil {
		return err
	}
	if !s.isPossible {
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
		return fmt.Errorf("tag %s: %w", id, err)
	}
	return nil
}

func (c *Client) handleRelease(m *jsonl.Message) error {
	if !callid.Valid(m.Tag) {
		return fmt.Errorf("tag %.20q", m.Tag)
	}
	if c.frontend.host.IsDisconnected() {
		return nil // no exchange would get it, so it is not confirmed
	}
	delete(c.openSetups, m.Tag)
	if c.frontend.host.Calls.ReleaseByCaller(m.Tag, m.ResultCode) {
		c.write(&jsonl.Message{Verb: jsonl.Finished, Tag: m.Tag})
	}
	return nil
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

// CallWithdrawn implements call.Client. It bounds the connection's table: nothing else takes set-ups off it that are
// given up, or asked for again, on another connection.
func (c *Client) CallWithdrawn(id string) { delete(c.openSetups, id) }

// Frontend implements call.Client.
func (c *Client) Frontend() call.Frontend { return c.frontend }
