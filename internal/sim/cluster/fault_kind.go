package cluster

import (
	"fmt"
	"slices"
	"strings"
)

// A FaultKind is a kind of fault. Its text is the value of the key "kind" in schedule files and results.
type FaultKind int

// Kinds of faults, grouped by target.
const (
	// Faults of the network paths between From and To.

	// FaultPartition blocks all traffic in both directions; connections stay open.
	FaultPartition FaultKind = iota + 1
	// FaultOneWayPartition blocks all traffic from From to To.
	FaultOneWayPartition
	// FaultDelay adds Latency in both directions and, for datagrams, a random delay of up to Jitter.
	FaultDelay
	// FaultDatagramLoss drops Fraction of the datagrams.
	FaultDatagramLoss
	// FaultDatagramDuplication delivers Fraction of the datagrams twice.
	FaultDatagramDuplication
	// FaultReorder delays each datagram by a random time of up to Jitter.
	FaultReorder
	// FaultConnectionReset resets the open connections; it has no duration.
	FaultConnectionReset
	// FaultHalfOpen accepts new connections without forwarding them.
	FaultHalfOpen
	// FaultBandwidthLimit limits streams to BytesPerSecond.
	FaultBandwidthLimit

	// Faults of the controllers, agents and exchanges that match From.

	// FaultPause sends SIGSTOP, and SIGCONT after Duration.
	FaultPause
	// FaultKill sends SIGKILL; the agent restarts a killed controller.
	FaultKill
	// FaultTerminate sends SIGTERM; the agent restarts the controller.
	FaultTerminate
	// FaultDiskFull makes a controller's writes to files fail.
	FaultDiskFull
	// FaultSlowdown multiplies the processing times of an exchange by Factor.
	FaultSlowdown
	// FaultHang makes an exchange accept messages without processing them.
	FaultHang
	// FaultCrash ends an exchange; a cold one is started after Duration.
	FaultCrash
	// FaultReplace starts a cold exchange at once, drains the old one for Duration and then ends it.
	FaultReplace
	// FaultDropCalls drops Fraction of the established calls of an exchange.
	FaultDropCalls
	// FaultByzantinePeer sends forged, correctly signed reports under a controller's member number. They say that
	// all servers are overloaded if Fraction is above 0, and that none is otherwise.
	FaultByzantinePeer

	// Faults of the store, "etcd".

	// FaultWatchStall withholds events from watches without an error.
	FaultWatchStall
	// FaultCompaction compacts the whole history of revisions.
	FaultCompaction
	// FaultStaleReads answers serializable reads from a state that is staleRevisions old.
	FaultStaleReads
	// FaultNoLeader fails requests, as a cluster without a leader does.
	FaultNoLeader
	// FaultLostResponses loses the responses of the next lostResponses writes, which take effect.
	FaultLostResponses
	// FaultKeepAliveLoss ignores the keep-alive requests of leases.
	FaultKeepAliveLoss
	// FaultRestore goes back by one revision, as restoring a backup into a new cluster does.
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

// Kinds of faults by target. drawStoreFault picks from storeFaults by a random index, so its order affects what a seed
// draws.
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
	// Agents have no FaultTerminate: an agent that is terminated also terminates its controllers.
	agentFaults    = []FaultKind{FaultPause, FaultKill}
	exchangeFaults = []FaultKind{FaultSlowdown, FaultHang, FaultCrash, FaultReplace, FaultDropCalls}
	// instantFaults are the kinds without a duration.
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
		return nil, fmt.Errorf("unknown kind of fault: %v", k)
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
	return fmt.Errorf("kind %q is unknown, must be one of %s", text, allFaultKeys())
}

// allFaultKeys returns the keys of all kinds, separated by commas.
func allFaultKeys() string {
	var keys []string
	for _, kind := range slices.Concat(pathFaults, componentFaults, storeFaults) {
		keys = append(keys, kind.String())
	}
	return strings.Join(keys, ", ")
}

// isOnPath reports whether faults of the kind affect network paths rather than components.
func (k FaultKind) isOnPath() bool { return slices.Contains(pathFaults, k) }

// isInstant reports whether the kind has no duration.
func (k FaultKind) isInstant() bool { return slices.Contains(instantFaults, k) }

// needsFraction reports whether faults of the kind have no effect with a Fraction of 0.
func (k FaultKind) needsFraction() bool {
	return k == FaultDatagramLoss || k == FaultDatagramDuplication || k == FaultDropCalls
}
