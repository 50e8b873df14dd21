package virtualtime

import (
	"fmt"
	"testing"
	"time"

	"olivedale/internal/sim/invariant"
	"olivedale/internal/sim/result"
	"olivedale/internal/sim/scenario"
)

const (
	testControllers = 6
	partitionStart  = 2100 * time.Millisecond // the last datagram sent before the partition has arrived
	partitionEnd    = 6 * time.Second
)

// controllerPair is the sender and the receiver of a datagram.
type controllerPair struct{ from, to int }

// datagramLog records the datagrams that controllers receive. Each controller sends ten times a second.
type datagramLog struct {
	t          *testing.T
	now        time.Duration
	lastRound  time.Duration
	startCount int
	senders    map[int]SendFunc
	arrivals   map[controllerPair][]time.Duration
}

func (l *datagramLog) startController(controller int, send SendFunc) ReceiveFunc {
	l.startCount++
	l.senders[controller] = send
	return func(from int, payload []byte) {
		if string(payload) != fmt.Sprint("from ", from) {
			l.t.Errorf("controller %d received %q from %d", controller, payload, from)
		}
		pair := controllerPair{from, controller}
		l.arrivals[pair] = append(l.arrivals[pair], l.now)
	}
}

// watch sends the datagrams. It is called with each event, so the events of the calls drive the rounds.
func (l *datagramLog) watch(e invariant.Event) {
	l.now = e.At
	if l.now-l.lastRound < 100*time.Millisecond {
		return
	}
	l.lastRound = l.now
	for i := range testControllers {
		l.senders[i](Broadcast, fmt.Append(nil, "from ", i))
	}
	l.senders[0](1, []byte("from 0"))
}

// receivedInPartition counts the datagrams of a pair that arrived during the partition.
func (l *datagramLog) receivedInPartition(pair controllerPair) (count int) {
	for _, at := range l.arrivals[pair] {
		if at > partitionStart && at < partitionEnd {
			count++
		}
	}
	return count
}

func runWithDatagrams(t *testing.T) (*result.Result, *datagramLog) {
	sc := scenario.Default()
	sc.Length, sc.Fleet.Controllers, sc.Network.PeerLoss = seconds(10), testControllers, 0.3
	sc.Fault = []scenario.Fault{
		{Kind: scenario.Partition, At: seconds(2), For: seconds(4)},
		{Kind: scenario.Kill, At: seconds(7), Share: 0.1, By: seconds(0.5)},
	}
	log := &datagramLog{t: t, senders: make(map[int]SendFunc), arrivals: make(map[controllerPair][]time.Duration)}
	r := Run(&sc, 4, Options{Datagrams: log.startController, Watch: log.watch})
	return r, log
}

// Datagrams between controllers are delayed and lost as configured in the scenario, do not cross a partition, and are
// received again after a restart. A second run gives the same result.
func TestDatagrams(t *testing.T) {
	r, log := runWithDatagrams(t)
	received := 0
	for pair, arrivals := range log.arrivals {
		received += len(arrivals)
		isSameZone := pair.from%3 == pair.to%3
		if isSameZone && log.receivedInPartition(pair) == 0 {
			t.Errorf("%v of one zone: no datagram received during the partition", pair)
		}
	}
	silentPairs := 0
	for from := range testControllers {
		for to := range testControllers {
			isOtherZone := from%3 != to%3
			if isOtherZone && isSilentInPartition(log.arrivals[controllerPair{from, to}]) {
				silentPairs++
			}
		}
	}
	// The partition leaves one of the three pairs of zones connected.
	share := float64(received) / float64(r.Datagrams)
	hasExpectedShare := share >= 0.4 && share <= 0.75
	if silentPairs != 16 || log.startCount != 7 || !hasExpectedShare || len(r.ViolationCounts) > 0 {
		t.Errorf("%d of %d datagrams received, %d pairs silent during the partition, %d starts, violations %v",
			received, r.Datagrams, silentPairs, log.startCount, r.ViolationCounts)
	}
	second, _ := runWithDatagrams(t)
	if second.Datagrams != r.Datagrams || second.Events != r.Events || second.DatagramBytes != r.DatagramBytes {
		t.Errorf("second run: %d datagrams, %d events; first run %d, %d",
			second.Datagrams, second.Events, r.Datagrams, r.Events)
	}
}

// isSilentInPartition reports whether no datagram arrived from the start of the partition to its end.
func isSilentInPartition(arrivals []time.Duration) bool {
	for _, at := range arrivals {
		if at >= partitionStart && at <= partitionEnd {
			return false
		}
	}
	return true
}
