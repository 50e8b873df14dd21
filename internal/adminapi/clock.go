package adminapi

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"time"

	"olivedale/internal/codec/h248"
)

// ClockStamps are the four timestamps of a clock exchange (RFC 5905, section 8), in nanoseconds since the Unix epoch.
// Unknown timestamps are 0.
type ClockStamps [4]int64

// Indexes of ClockStamps.
const (
	OriginTime      = iota // T1: the client sends the request
	ReceiveTime            // T2: the server receives the request
	TransmitTime           // T3: the server sends the reply
	DestinationTime        // T4: the client receives the reply
)

// peerProperty and stampProperties are the properties of TerminationState that carry a clock exchange.
const peerProperty = "oc/peer"

var stampProperties = [len(ClockStamps{})]string{
	OriginTime:      "oc/t1",
	ReceiveTime:     "oc/t2",
	TransmitTime:    "oc/t3",
	DestinationTime: "oc/t4",
}

const maxPeerNameLength = 64

// Errors of ParseClock. Their texts are sent to the peer.
var (
	errNoTerminationState = errors.New("no TerminationState")
	errInvalidPeerName    = errors.New("oc/peer is no name")
)

// ClockCommand returns the command that reads an instance's clock, a Modify of ROOT. It also carries the name of the
// client and the timestamps of the previous exchange, because an instance receives the complete timestamps of an
// exchange only with the next request.
func ClockCommand(peer string, previous ClockStamps) *h248.Command {
	properties := []*h248.Node{{Name: peerProperty, Value: peer, Quoted: true}}
	for i, name := range stampProperties {
		if previous[i] != 0 {
			properties = append(properties, &h248.Node{Name: name, Value: strconv.FormatInt(previous[i], 10)})
		}
	}
	return modifyCommand(rootTermination, properties)
}

// ParseClock parses the name of the client and the timestamps in a ClockCommand or its reply.
func ParseClock(c *h248.Command) (peer string, stamps ClockStamps, err error) {
	state := h248.Find(c.Descriptors, h248.DescriptorMedia, h248.DescriptorTerminationState)
	if state == nil {
		return "", stamps, errNoTerminationState
	}
	peer = h248.Value(state.Children, peerProperty)
	if !isPeerName(peer) {
		return "", stamps, errInvalidPeerName
	}
	for i, name := range stampProperties {
		text := h248.Value(state.Children, name)
		if text == "" {
			continue
		}
		if stamps[i], err = strconv.ParseInt(text, 10, 64); err != nil {
			return "", stamps, err
		}
	}
	return peer, stamps, nil
}

// isPeerName reports whether s has at most maxPeerNameLength characters, all of them visible ASCII. It may be empty.
func isPeerName(s string) bool {
	isInvisible := func(c rune) bool { return c <= ' ' || c > '~' }
	return len(s) <= maxPeerNameLength && !strings.ContainsFunc(s, isInvisible)
}

// ExchangeClocks reads the clock of the instance at addr. It sends the timestamps of the previous exchange and returns
// the timestamps of the new one.
func ExchangeClocks(ctx context.Context, addr, peer string, previous ClockStamps) (ClockStamps, error) {
	start := time.Now()
	reply, err := Send(ctx, addr, ClockCommand(peer, previous))
	if err != nil {
		return ClockStamps{}, err
	}
	_, stamps, err := ParseClock(reply)
	if err != nil {
		return ClockStamps{}, err
	}
	// T4 is computed with the monotonic clock, so that a step of the wall clock during the exchange does not distort
	// its duration.
	stamps[OriginTime] = start.UnixNano()
	stamps[DestinationTime] = stamps[OriginTime] + int64(time.Since(start))
	return stamps, nil
}
