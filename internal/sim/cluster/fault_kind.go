package cluster

import (
	"fmt"
	"slices"
	"strings"
)

// A FaultKind says what goes wrong. Its text is the value of the key "kind" in schedule files and results.
type FaultKind int

// Kinds of faults, by what they concern.
const (
	// Faults of the network paths between From and To.

	// FaultPartition drops everything both ways; connections stay open.
	FaultPartition FaultKind = iota + 1
	// FaultOneWayPartition drops everything from From to To.
	FaultOneWayPartition
	// FaultDelay adds Latency both ways, and a random part of Jitter.
	FaultDelay
	// FaultDatagramLoss drops Fraction of the datagrams.
	FaultDatagramLoss
	// FaultDatagramDuplication delivers Fraction of the datagrams twice.
	FaultDatagramDuplication
	// FaultReorder delays each datagram by a random part of Jitter.
	FaultReorder
	// FaultConnectionReset resets the open connections; it has no duration.
	FaultConnectionReset
	// FaultHalfOpen accepts new connections and does not forward them.
	FaultHalfOpen
	// FaultBandwidthLimit limits streams to BytesPerSecond.
	FaultBandwidthLimit

	// Faults of the controllers, agents and exchanges that From names.

	// FaultPause sends SIGSTOP, and SIGCONT after Duration.
	FaultPause
	// FaultKill sends SIGKILL; the agent starts a killed controller again.
	FaultKill
	// FaultTerminate sends SIGTERM; the agent starts the controller again.
	FaultTerminate
	// FaultDiskFull fails a controller's writes to files.
	FaultDiskFull
	// FaultSlowdown makes the processing times of an exchange Factor times longer.
	FaultSlowdown
	// FaultHang has an exchange accept messages and not process them.
	FaultHang
	// FaultCrash ends an exchange; a cold one replaces it after Duration.
	FaultCrash
	// FaultReplace drains an exchange for Duration and ends it; a cold one starts at once.
	FaultReplace
	// FaultDropCalls drops Fraction of the established calls of an exchange.
	FaultDropCalls
	// FaultByzantinePeer sends forged, correctly signed reports under a controller's member number: that all
	// servers are overloaded if Fraction is above 0, otherwise that none is.
	FaultByzantinePeer

	// Faults of the store, which is "etcd".

	// FaultWatchStall withholds events from watches, without an error.
	FaultWatchStall
	// FaultCompaction compacts the whole history.
	FaultCompaction
	// FaultStaleReads answers serializable reads from staleRevisions ago.
	FaultStaleReads
	// FaultNoLeader fails requests.
	FaultNoLeader
	// FaultLostResponses loses the responses of the next writes, which take effect.
	FaultLostResponses
	// FaultKeepAliveLoss ignores keep-alive requests of leases.
	FaultKeepAliveLoss
	// FaultRestore goes back by one revision, as a restore of a backup into a new cluster does.
	FaultRestore
)

// faultKeys maps each kind to its key in schedule files and results.
var faultKeys = map[FaultKind]string{
	FaultPartition:           "cut",
	FaultOneWayPartition:     "one_way",
	FaultDelay:               "delay",
	FaultDatagramLoss:        "lose",
	FaultDatagramDuplication: "twice",
	FaultReorder:             "reorder",
	FaultConnectionReset:     "reset",
	FaultHalfOpen:            "half_open",
	FaultBandwidthLimit:      "throttle",

	FaultPause:         "stop",
	FaultKill:          "kill",
	FaultTerminate:     "end",
	FaultDiskFull:      "disk",
	FaultSlowdown:      "slow",
	FaultHang:          "hang",
	FaultCrash:         "crash",
	FaultReplace:       "swap",
	FaultDropCalls:     "drop",
	FaultByzantinePeer: "lie",

	FaultWatchStall:    "watch_stall",
	FaultCompaction:    "compact",
	FaultStaleReads:    "stale",
	FaultNoLeader:      "no_leader",
	FaultLostResponses: "lose_answers",
	FaultKeepAliveLoss: "mute_leases",
	FaultRestore:       "restore",
}

// The kinds by target. Draw picks from storeFaults by index: its order decides what a seed draws.
var (
	pathFaults = []FaultKind{
		FaultPartition, FaultOneWayPartition, FaultDelay, FaultDatagramLoss, FaultDatagramDuplication,
		FaultReorder, FaultConnectionReset, FaultHalfOpen, FaultBandwidthLimit,
	}
	componentFaults = []FaultKind{
		FaultPause, FaultKill, FaultTerminate, FaultDiskFull, FaultSlowdown,
		FaultHang, FaultCrash, FaultReplace, FaultDropCalls, FaultByzantinePeer,
	}
	storeFaults = []FaultKind{
		FaultWatchStall, FaultCompaction, FaultStaleReads, FaultNoLeader,
		FaultLostResponses, FaultKeepAliveLoss, FaultRestore,
	}
	controllerFaults = []FaultKind{FaultPause, FaultKill, FaultTerminate, FaultDiskFull, FaultByzantinePeer}
	// An agent that terminates in order terminates its controllers: there is no FaultTerminate for it.
	agentFaults    = []FaultKind{FaultPause, FaultKill}
	exchangeFaults = []FaultKind{FaultSlowdown, FaultHang, FaultCrash, FaultReplace, FaultDropCalls}
	// instantFaults have no duration.
	instantFaults = []FaultKind{
		FaultConnectionReset, FaultKill, FaultTerminate, FaultDropCalls, FaultCompaction, FaultRestore,
	}
)

// String returns the kind's key in schedule files.
func (k FaultKind) String() string {
	if key, ok := faultKeys[k]; ok {
		return key
	}
	return fmt.Sprintf("FaultKind(%d)", int(k))
}

// MarshalText implements encoding.TextMarshaler.
func (k FaultKind) MarshalText() ([]byte, error) {
	key, ok := faultKeys[k]
	if !ok {
		return nil, fmt.Errorf("%v is no kind of fault", k)
	}
	return []byte(key), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (k *FaultKind) UnmarshalText(text []byte) error {
	for kind, key := range faultKeys {
		if key == string(text) {
			*k = kind
			return nil
		}
	}
	return fmt.Errorf("%q is none of %s", text, allFaultKeys())
}

// allFaultKeys lists the keys of all kinds.
func allFaultKeys() string {
	var keys []string
	for _, kind := range slices.Concat(pathFaults, componentFaults, storeFaults) {
		keys = append(keys, kind.String())
	}
	return strings.Join(keys, ", ")
}

// isOnPath reports whether the kind concerns network paths.
func (k FaultKind) isOnPath() bool { return slices.Contains(pathFaults, k) }

// isInstant reports whether the kind has no duration.
func (k FaultKind) isInstant() bool { return slices.Contains(instantFaults, k) }

// needsFraction reports whether the kind has no effect without a fraction.
func (k FaultKind) needsFraction() bool {
	return k == FaultDatagramLoss || k == FaultDatagramDuplication || k == FaultDropCalls
}
