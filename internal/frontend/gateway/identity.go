package gateway

import (
	"fmt"
	"math"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// A contextID identifies the context of a call. Its upper bits are a sequence number and its lower bits a digest of the
// sequence number and the gateway that the context was assigned to.
type contextID uint32

// Context ids that H.248.1, 6.1.1 reserves.
const (
	nullContextID   contextID = 0
	chooseContextID contextID = math.MaxUint32 - 1
	allContextID    contextID = math.MaxUint32
)

const (
	ownerDigestBits = 12
	ownerDigestMask = 1<<ownerDigestBits - 1
)

// callIDLength is the length of a call id: the context and a digest in hexadecimal.
const callIDLength = 16

// String returns the id as it is written in messages.
func (c contextID) String() string { return strconv.FormatUint(uint64(c), 10) }

func (c contextID) isReserved() bool {
	return c == nullContextID || c == chooseContextID || c == allContextID
}

func parseContextID(text string) (c contextID, ok bool) {
	value, err := strconv.ParseUint(text, 10, 32)
	return contextID(value), err == nil
}

// An identitySource assigns the context ids and call ids of one controller. Gateways keep a context beyond the end of
// the process that assigned it, so both ids can be traced back to their gateway without any state: a context carries a
// digest of its gateway, and a call id is computed from the context and the gateway.
type identitySource struct {
	controller   string // name of the controller, which stays the same in the next process
	lastSequence uint32
}

// newIdentitySource returns a source whose sequence numbers follow lastSequence. To be unique among the contexts of
// earlier processes, lastSequence has to be random and must not depend on the configuration.
func newIdentitySource(controller string, lastSequence uint32) identitySource {
	return identitySource{controller: controller, lastSequence: lastSequence}
}

// next returns a context id for a gateway. The ids repeat after 1<<20 calls.
func (s *identitySource) next(messageID string) contextID {
	for {
		s.lastSequence++
		c := s.withOwnerDigest(messageID, contextID(s.lastSequence<<ownerDigestBits))
		if !c.isReserved() {
			return c
		}
	}
}

// isAssigned reports whether this controller, in this process or an earlier one, can have assigned a context to a
// gateway. Of the contexts that it has not assigned, it accepts one in 4096.
func (s *identitySource) isAssigned(messageID string, c contextID) bool {
	return !c.isReserved() && c == s.withOwnerDigest(messageID, c)
}

func (s *identitySource) withOwnerDigest(messageID string, c contextID) contextID {
	sequence := c &^ ownerDigestMask
	return sequence | contextID(s.digest(messageID, sequence)&ownerDigestMask)
}

// callID returns the id of the call in a context of a gateway. It differs between gateways and between controllers.
func (s *identitySource) callID(messageID string, c contextID) string {
	return fmt.Sprintf("%08x%08x", uint32(c), s.digest(messageID, c))
}

// contextOf returns the context of a call id, if the call can be one of the given gateway.
func (s *identitySource) contextOf(messageID, callID string) (c contextID, ok bool) {
	if len(callID) != callIDLength {
		return 0, false
	}
	value, err := strconv.ParseUint(callID[:callIDLength/2], 16, 32)
	c = contextID(value)
	return c, err == nil && s.isAssigned(messageID, c) && s.callID(messageID, c) == callID
}

// digest returns a digest of a context, its gateway and the controller.
func (s *identitySource) digest(messageID string, c contextID) uint32 {
	return uint32(xxhash.Sum64String(s.controller+"\n"+messageID+"\n"+c.String()) >> 32)
}
