package adminapi

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"time"

	"olivedale/internal/codec/h248"
)

// Stamps are the four time stamps of an exchange, Unix nanoseconds, as RFC 5905, section 8,
// names them: T1 and T4 by the one that asks, T2 and T3 by the one that answers.
type Stamps [4]int64

// clockNames are the properties of TerminationState that carry Stamps.
var clockNames = [4]string{"oc/t1", "oc/t2", "oc/t3", "oc/t4"}

// Clock asks an instance for its time, as a Modify of ROOT. The instance knows all four time
// stamps of an exchange only once the one that asked has told it the last: they come with the
// next exchange, under the name of who asks.
func Clock(peer string, last Stamps) *h248.Command {
	state := &h248.Node{Name: "TerminationState", Kids: []*h248.Node{{Name: "oc/peer", Value: peer, Quoted: true}}}
	for i, name := range clockNames {
		if last[i] != 0 {
			state.Kids = append(state.Kids, &h248.Node{Name: name, Value: strconv.FormatInt(last[i], 10)})
		}
	}
	return &h248.Command{Name: "Modify", Termination: "ROOT", Descriptors: []*h248.Node{{Name: "Media", Kids: []*h248.Node{state}}}}
}

// ReadClock reads what Clock and its reply carry; a time stamp that is not there is 0.
func ReadClock(c *h248.Command) (peer string, s Stamps, err error) {
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

// Exchange asks the instance at addr for its time, tells it the last exchange's time stamps
// and returns the new ones.
func Exchange(ctx context.Context, addr, peer string, last Stamps) (Stamps, error) {
	before := time.Now()
	c, err := Ask(ctx, addr, Clock(peer, last))
	if err != nil {
		return Stamps{}, err
	}
	_, s, err := ReadClock(c)
	if err != nil {
		return Stamps{}, err
	}
	// T4 by the monotonic clock: a step in between must not make the way back look short.
	s[0] = before.UnixNano()
	s[3] = s[0] + int64(time.Since(before))
	return s, nil
}
