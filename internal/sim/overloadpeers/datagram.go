package overloadpeers

import "google.golang.org/protobuf/encoding/protowire"

// The datagrams are encoded here independently of the product, in the format of docs/design/overload.md, so that the
// product contains no code for false messages.

const protocolVersion = 1

// Kinds of messages.
const (
	kindLoadReport  = 1
	kindLimitUpdate = 2
)

// Bits in the mask of a server's sample in a load report: one for each count that follows.
const (
	maskOffered    = 1<<priorityCount - 1 // one bit for each priority
	maskAnswered   = 1 << 5
	maskWait       = 1 << 6
	maskOverloaded = 1 << 7 // without a count: the sender found the server overloaded
)

const (
	priorityCount      = 4
	maxReportedServers = 12 // fit into one load report
	maxLimitedServers  = 24 // fit into one limit update
	claimedMembers     = 1

	reportSpan      = 50 // of the load report, in 10 ms
	offeredCalls    = 1000
	answeredCalls   = priorityCount * offeredCalls
	shortWait       = 1    // in 10 ms
	longWait        = 3000 // in 10 ms
	lightLimitWait  = 10   // wait of a light limit, in 10 ms
	throttledUpTo   = 2    // priority of a heavy limit; calls up to it are throttled
	heavyThrottle   = 250  // in 255ths
	minimalThrottle = 1    // in 255ths
)

// FalseLoadReport returns a false load report of the controller self. It claims that the controller offered many calls
// of each priority to each server, and that all of them were answered at once or, with claimsOverloaded, that none has
// been answered for half a minute.
func FalseLoadReport(self int, incarnation, sequence uint32, serverKeys []uint32, claimsOverloaded bool) []byte {
	const hasOverloadEvidence = 1
	b := appendHeader(nil, kindLoadReport, self, incarnation, sequence)
	b = protowire.AppendVarint(b, reportSpan<<1|hasOverloadEvidence)
	for _, key := range serverKeys[:min(len(serverKeys), maxReportedServers)] {
		b = appendKey(b, key)
		b = appendFalseSample(b, claimsOverloaded)
	}
	return b
}

// appendFalseSample appends the mask and the counts of one server.
func appendFalseSample(b []byte, claimsOverloaded bool) []byte {
	mask := byte(maskOffered | maskAnswered | maskWait)
	if claimsOverloaded {
		mask = maskOffered | maskWait | maskOverloaded
	}
	b = append(b, mask)
	for range priorityCount {
		b = protowire.AppendVarint(b, offeredCalls)
	}
	if claimsOverloaded {
		return protowire.AppendVarint(b, longWait)
	}
	b = protowire.AppendVarint(b, answeredCalls)
	return protowire.AppendVarint(b, shortWait)
}

// FalseLimitUpdate returns a false limit update of the controller self. It claims that the servers are barely
// overloaded and throttles next to nothing or, with claimsOverloaded, it throttles nearly all calls.
func FalseLimitUpdate(self int, incarnation, sequence uint32, serverKeys []uint32, claimsOverloaded bool) []byte {
	b := appendHeader(nil, kindLimitUpdate, self, incarnation, sequence)
	b = protowire.AppendVarint(b, claimedMembers)
	for _, key := range serverKeys[:min(len(serverKeys), maxLimitedServers)] {
		b = appendKey(b, key)
		b = appendFalseLimit(b, claimsOverloaded)
	}
	return b
}

// appendFalseLimit appends priority, throttle, overflow throttle and wait of one server's limit.
func appendFalseLimit(b []byte, claimsOverloaded bool) []byte {
	if claimsOverloaded {
		b = append(b, throttledUpTo, heavyThrottle, heavyThrottle)
		return protowire.AppendVarint(b, longWait)
	}
	b = append(b, 0, minimalThrottle, 0)
	return protowire.AppendVarint(b, lightLimitWait)
}

func appendHeader(b []byte, kind byte, self int, incarnation, sequence uint32) []byte {
	b = append(b, protocolVersion<<4|kind)
	b = protowire.AppendVarint(b, uint64(self))
	b = protowire.AppendVarint(b, uint64(incarnation))
	return protowire.AppendVarint(b, uint64(sequence))
}

func appendKey(b []byte, key uint32) []byte {
	return append(b, byte(key>>16), byte(key>>8), byte(key))
}
