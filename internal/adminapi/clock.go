package adminapi

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"time"

	"olivedale/internal/codec/h248"
)

// ClockStamps are the four time stamps of an exchange, Unix nanoseconds, as RFC 5905, section 8,
// names them: T1 and T4 by the one that asks, T2 and T3 by the one that answers.
type ClockStamps [4]int64

// clockNames are the properties of TerminationState that carry Stamps.
var clockNames = [4]string{"oc/t1", "oc/t2", "oc/t3", "oc/t4"}

// ClockCommand asks an instance for its time, as a Modify of ROOT. The instance knows all four time
// stamps of an exchange only once the one that asked has told it the last: they come with the
// next exchange, under the name of who asks.
func ClockCommand(peer string, last ClockStamps) *h248.Command {
	state := &h248.Node{Name: "TerminationState", Kids: []*h248.Node{{Name: "oc/peer", Value: peer, Quoted: true}}}
	for i, name := range clockNames {
		if last[i] != 0 {
			state.Kids = append(state.Kids, &h248.Node{Name: name, Value: strconv.FormatInt(last[i], 10)})
		}
	}
	return &h248.Command{Name: "Modify", Termination: "ROOT", Descriptors: []*h248.Node{{Name: "Media", Kids: []*h248.Node{state}}}}
}

// ParseClock reads what Clock and its reply carry; a time stamp that is not there is 0.
func ParseClock(c *h248.Command) (peer string, s ClockStamps, err error) {
	state := h248.Find(c.Descriptors, "Media", "TerminationState")
	if state == nil {
		return "", s, errors.New("no TerminationState")
	}
	peer = h248.Value(state.Kids, "oc/peer")
	if len(peer) > 64 || strings.ContainsFunc(peer, func(c rune) bool { return c <= ' ' || c > '~' }) {
		return "", s, errors.New("oc/peer is no name")
	}
	for i, name := range clockNames {
		if v := h248.Value(state.Kids, name); v != "" {
			if s[i], err = strconv.ParseInt(v, 10, 64); err != nil {
				return "", s, err
			}
		}
	}
	return peer, s, nil
}

// ExchangeClocks asks the instance at addr for its time, tells it the last exchange's time stamps
// and returns the new ones.
func ExchangeClocks(ctx context.Context, addr, peer string, last ClockStamps) (ClockStamps, error) {
	before := time.Now()
	c, err := Send(ctx, addr, ClockCommand(peer, last))
	if err != nil {
		return ClockStamps{}, err
	}
	_, s, err := ParseClock(c)
	if err != nil {
		return ClockStamps{}, err
	}
	// T4 by the monotonic clock: a step in between must not make the way back look short.
	s[0] = before.UnixNano()
	s[3] = s[0] + int64(time.Since(before))
	return s, nil
}
