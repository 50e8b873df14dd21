package cluster

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/BurntSushi/toml"

	"olivedale/internal/sim/scenario"
)

// Kinds of steps on a path. Each ends after For, but for reset, which has no length.
const (
	FaultPartition           = "cut"       // nothing passes between From and To, and nobody is told
	FaultOneWayPartition     = "one_way"   // nothing passes from From to To; the way back is open
	FaultDelay               = "delay"     // By later both ways, and up to Spread more
	FaultDatagramLoss        = "lose"      // Share of the datagrams get lost
	FaultDatagramDuplication = "twice"     // Share of the datagrams come twice
	FaultReorder             = "reorder"   // datagrams are up to Spread late, each its own time
	FaultConnectionReset     = "reset"     // connections are reset
	FaultHalfOpen            = "half_open" // new connections come up and lead nowhere
	FaultBandwidthLimit      = "throttle"  // streams carry Rate bytes a second
)

// Kinds of steps on processes and exchanges named by From.
const (
	FaultPause         = "stop"  // SIGSTOP, and SIGCONT after For
	FaultKill          = "kill"  // SIGKILL; the agent starts it again
	FaultTerminate     = "end"   // SIGTERM; the agent starts it again
	FaultDiskFull      = "disk"  // a controller's writes to files fail, as on a full disk
	FaultSlowdown      = "slow"  // an exchange's processor takes Factor times longer
	FaultHang          = "hang"  // an exchange takes everything and does nothing
	FaultCrash         = "crash" // an exchange ends; after For a cold one takes its place
	FaultReplace       = "swap"  // an exchange drains for For and ends; a cold one starts at once
	FaultByzantinePeer = "lie"   // a hostile process that has the fleet's keys tells all, under a controller's number, that all is well or, by Share 1, pressed
	FaultDropCalls     = "drop"  // Share of an exchange's standing calls is cut
)

// Kinds of steps on the store, "etcd".
const (
	FaultWatchStall    = "watch_stall"  // watches bring nothing, without an error
	FaultCompaction    = "compact"      // its history is forgotten
	FaultStaleReads    = "stale"        // serializable reads are three revisions behind
	FaultNoLeader      = "no_leader"    // requests fail
	FaultLostResponses = "lose_answers" // the answers to the next writes are lost, though they take hold
	FaultKeepAliveLoss = "mute_leases"  // leases are not kept alive
	FaultRestore       = "restore"      // it goes back by a revision, as another cluster
)

// pathFaults, partFaults and storeFaults list the kinds.
var (
	pathFaults  = []string{FaultPartition, FaultOneWayPartition, FaultDelay, FaultDatagramLoss, FaultDatagramDuplication, FaultReorder, FaultConnectionReset, FaultHalfOpen, FaultBandwidthLimit}
	partFaults  = []string{FaultPause, FaultKill, FaultTerminate, FaultDiskFull, FaultSlowdown, FaultHang, FaultCrash, FaultReplace, FaultDropCalls, FaultByzantinePeer}
	storeFaults = []string{FaultWatchStall, FaultCompaction, FaultStaleReads, FaultNoLeader, FaultLostResponses, FaultKeepAliveLoss, FaultRestore}
	// atOnce are those that have no length.
	atOnce = []string{FaultConnectionReset, FaultKill, FaultTerminate, FaultDropCalls, FaultCompaction, FaultRestore}
)

// A Fault is a fault. Its times count from when the stage was ready and calls began to come, so that a
// schedule means the same on a slow machine.
type Fault struct {
	At             scenario.Duration `toml:"at" json:"at"`
	Duration       scenario.Duration `toml:"for" json:"for,omitempty"`
	Kind           string            `toml:"kind" json:"kind"`
	Name           string            `toml:"name,omitempty" json:"name,omitempty"` // of the cut, for the report: a zone, an agent, a half
	From           []string          `toml:"from" json:"from"`                     // names, or "z1" for a zone, "n*" for all of a kind
	To             []string          `toml:"to,omitempty" json:"to,omitempty"`
	Latency        scenario.Duration `toml:"by,omitempty" json:"by,omitempty"`
	Jitter         scenario.Duration `toml:"spread,omitempty" json:"spread,omitempty"`
	Fraction       float64           `toml:"share,omitempty" json:"share,omitempty"`
	Factor         float64           `toml:"factor,omitempty" json:"factor,omitempty"`
	BytesPerSecond int               `toml:"rate,omitempty" json:"rate,omitempty"`
}

// String implements fmt.Stringer.
func (s *Fault) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%v %s", s.At.D(), s.Kind)
	if s.Name != "" {
		fmt.Fprintf(&b, " (%s)", s.Name)
	}
	fmt.Fprintf(&b, " %s", strings.Join(s.From, ","))
	if len(s.To) > 0 {
		fmt.Fprintf(&b, " - %s", strings.Join(s.To, ","))
	}
	if s.Duration > 0 {
		fmt.Fprintf(&b, " for %v", s.Duration.D())
	}
	return b.String()
}

// A Schedule is what goes wrong in a run. Written to a file it plays the run again.
type Schedule struct {
	Seed uint64   `toml:"seed" json:"seed"` // it was drawn from; also of callers and relays
	Step []*Fault `toml:"step" json:"step"`
}

// mostSteps bounds a schedule.
const mostSteps = 256

// Check tells what cannot be played on a topology.
func (s *Schedule) Check(t *Topology) error {
	if len(s.Step) > mostSteps {
		return fmt.Errorf("schedule: %d steps, %d at most", len(s.Step), mostSteps)
	}
	for i, x := range s.Step {
		if err := x.check(t); err != nil {
			return fmt.Errorf("schedule: step %d (%s): %w", i+1, x.Kind, err)
		}
	}
	return nil
}

func (s *Fault) check(t *Topology) error {
	path := slices.Contains(pathFaults, s.Kind)
	from, err := t.Match(s.From)
	if err != nil {
		return fmt.Errorf("from: %w", err)
	}
	switch {
	case !path && !slices.Contains(partFaults, s.Kind) && !slices.Contains(storeFaults, s.Kind):
		return fmt.Errorf("none of %s", strings.Join(slices.Concat(pathFaults, partFaults, storeFaults), ", "))
	case s.At < 0 || s.Duration < 0 || s.Latency < 0 || s.Jitter < 0 || s.BytesPerSecond < 0:
		return errors.New("times and rate must not be negative")
	case s.Fraction < 0 || s.Fraction > 1:
		return errors.New("share is between 0 and 1")
	case (s.Kind == FaultDatagramLoss || s.Kind == FaultDatagramDuplication || s.Kind == FaultDropCalls) && s.Fraction == 0:
		return errors.New("share is missing")
	case s.Kind == FaultBandwidthLimit && s.BytesPerSecond == 0:
		return errors.New("rate is missing")
	case s.Kind == FaultSlowdown && s.Factor <= 0:
		return errors.New("factor is missing")
	case s.Duration == 0 && !slices.Contains(atOnce, s.Kind):
		return errors.New("for is missing: nothing would end it")
	case s.Kind == FaultByzantinePeer && !t.Share:
		return errors.New("controllers share nothing here")
	case path:
		to, err := t.Match(s.To)
		if err != nil {
			return fmt.Errorf("to: %w", err)
		}
		if !t.joined(from, to) {
			return fmt.Errorf("no path stands between %s and %s", strings.Join(s.From, ","), strings.Join(s.To, ","))
		}
		return nil
	}
	for _, name := range from {
		if !slices.Contains(able(name), s.Kind) {
			return fmt.Errorf("%s is nothing that can %s", name, s.Kind)
		}
	}
	return nil
}

// able lists what can go wrong with a part itself.
func able(name string) []string {
	switch {
	case name == "etcd":
		return storeFaults
	case name == "names":
		return nil
	case name[0] == 'x':
		return []string{FaultSlowdown, FaultHang, FaultCrash, FaultReplace, FaultDropCalls}
	case name[0] == 'a': // one that ends in order has its controllers end
		return []string{FaultPause, FaultKill}
	}
	return []string{FaultPause, FaultKill, FaultTerminate, FaultDiskFull, FaultByzantinePeer}
}

// Load reads a schedule's file; an unknown key is an error.
func Load(path string) (*Schedule, error) {
	s := &Schedule{}
	meta, err := toml.DecodeFile(path, s)
	if err != nil {
		return nil, fmt.Errorf("schedule: %s: %w", path, err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, fmt.Errorf("schedule: %s: %s: unknown key", path, unknown[0])
	}
	return s, nil
}

// Save writes it to a file.
func (s *Schedule) Save(path string) error {
	w, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("schedule: %w", err)
	}
	return errors.Join(toml.NewEncoder(w).Encode(s), w.Close())
}

// A Topology is how many there are of each part, and which zone each is in. Controllers are n0, n1 and
// so on, exchanges x0, agents a0, zones z0; "names" is the directory and "etcd" the store, of which
// there is one for all. Part i of a kind is in zone i modulo the number of zones, and a controller's
// agent is that of its zone.
type Topology struct {
	Controllers, Exchanges, Zones int
	Share                         bool `json:",omitempty"` // controllers share what they know, and there are paths between them
}

// most bounds what one machine is asked to run.
const (
	mostControllers = 40
	mostExchanges   = 32
)

// Check tells what cannot be run.
func (t *Topology) Check() error {
	switch {
	case t.Controllers < 1 || t.Controllers > mostControllers:
		return fmt.Errorf("rig: %d controllers, 1 to %d can be run", t.Controllers, mostControllers)
	case t.Exchanges < 1 || t.Exchanges > mostExchanges:
		return fmt.Errorf("rig: %d exchanges, 1 to %d can be run", t.Exchanges, mostExchanges)
	case t.Zones < 1 || t.Zones > t.Controllers:
		return fmt.Errorf("rig: %d zones, 1 to %d (one agent a zone, a controller each)", t.Zones, t.Controllers)
	}
	return nil
}

// zoneOf is the zone of a part by its name, -1 for what is in none.
func (t *Topology) zoneOf(name string) int {
	if i, err := strconv.Atoi(name[1:]); err == nil && strings.Contains("nxa", name[:1]) {
		return i % t.Zones
	}
	return -1
}

// namesOfKind are the names of a kind.
func (t *Topology) namesOfKind(kind byte) (all []string) {
	n := map[byte]int{'n': t.Controllers, 'x': t.Exchanges, 'a': t.Zones}[kind]
	for i := range n {
		all = append(all, fmt.Sprintf("%c%d", kind, i))
	}
	return all
}

func (t *Topology) all() []string {
	return slices.Concat(t.namesOfKind('n'), t.namesOfKind('x'), t.namesOfKind('a'), []string{"names", "etcd"})
}

// Match is the parts that patterns name: a name, a zone, "n*" for all of a kind, "*" for everything.
func (t *Topology) Match(patterns []string) (names []string, err error) {
	all := t.all()
	for _, p := range patterns {
		found := slices.DeleteFunc(slices.Clone(all), func(name string) bool {
			switch {
			case p == name, p == "*":
				return false
			case strings.HasPrefix(p, "z"):
				return p != fmt.Sprint("z", t.zoneOf(name))
			case len(p) == 2 && p[1] == '*':
				return name[0] != p[0] || t.zoneOf(name) < 0
			}
			return true
		})
		if len(found) == 0 {
			return nil, fmt.Errorf("%q names nothing here", p)
		}
		names = append(names, found...)
	}
	if len(names) == 0 {
		return nil, errors.New("nothing is named")
	}
	slices.Sort(names)
	return slices.Compact(names), nil
}

// served is what a part of a kind dials or asks.
var served = map[byte]string{'n': "xd", 'a': "en"}

// joined tells whether a path stands between any of two groups.
func (t *Topology) joined(from, to []string) bool {
	ends := func(a, b string) bool {
		serves := b[0]
		if b == "names" {
			serves = 'd'
		}
		if a[0] == 'n' && b[0] == 'n' && b != "names" {
			return t.Share && a != b
		}
		if a[0] == 'a' && serves == 'n' && t.zoneOf(a) != t.zoneOf(b) {
			return false // an agent has the controllers of its zone
		}
		return strings.IndexByte(served[a[0]], serves) >= 0 && a != "names"
	}
	for _, a := range from {
		for _, b := range to {
			if ends(a, b) || ends(b, a) {
				return true
			}
		}
	}
	return false
}

// Draw draws a schedule of n faults over a time. The last fifth of it is left for recovery.
func Draw(t *Topology, n int, over time.Duration, seed uint64) *Schedule {
	rng := rand.New(rand.NewPCG(seed, 16))
	s := &Schedule{Seed: seed}
	within := func(low, high time.Duration) scenario.Duration {
		d := low + time.Duration(rng.Float64()*float64(high-low))
		return scenario.Duration(d.Round(time.Millisecond))
	}
	one := func(kind byte) []string { all := t.namesOfKind(kind); return []string{all[rng.IntN(len(all))]} }
	for range n {
		x := &Fault{At: within(0, over*3/5), Duration: within(over/20, over/5)}
		zone := fmt.Sprint("z", rng.IntN(t.Zones))
		// By how a part is named, so that a file says what was meant.
		kinds := 20
		if t.Share && t.Controllers > 1 {
			kinds = 26 // and what goes wrong between controllers
		}
		switch rng.IntN(kinds) {
		case 0: // a zone's controllers cut off from the exchanges of the others
			x.Kind, x.Name, x.From = FaultPartition, "zone", []string{zone}
			for _, other := range t.namesOfKind('x') {
				if fmt.Sprint("z", t.zoneOf(other)) != zone {
					x.To = append(x.To, other)
				}
			}
			if len(x.To) == 0 {
				x.To = []string{"x*"}
			}
		case 1:
			x.Kind, x.From, x.To = FaultOneWayPartition, one('n'), one('x')
		case 2:
			x.Kind, x.From, x.To = FaultOneWayPartition, one('x'), []string{"n*"}
		case 3:
			x.Kind, x.From, x.To, x.Latency, x.Jitter = FaultDelay, []string{zone}, []string{"x*"}, within(10*time.Millisecond, 400*time.Millisecond), within(0, 50*time.Millisecond)
		case 4:
			x.Kind, x.From, x.To, x.Duration = FaultConnectionReset, one('x'), []string{"n*"}, 0
		case 5:
			x.Kind, x.From, x.To = FaultHalfOpen, []string{"n*"}, one('x')
		case 6:
			x.Kind, x.From, x.To, x.BytesPerSecond = FaultBandwidthLimit, one('n'), []string{"x*"}, 2000+rng.IntN(20_000)
		case 7:
			x.Kind, x.From, x.To, x.Fraction = FaultDatagramLoss, []string{"n*"}, []string{"names"}, 0.2+0.7*rng.Float64()
		case 8:
			x.Kind, x.From, x.To, x.Jitter = FaultReorder, []string{"n*"}, []string{"names"}, within(200*time.Millisecond, time.Second)
		case 9:
			x.Kind, x.Name, x.From, x.To = FaultPartition, "directory", []string{zone}, []string{"names"}
		case 10:
			x.Kind, x.Name, x.From, x.To = FaultPartition, "agent", one('a'), []string{"etcd"}
			if rng.IntN(2) == 0 {
				x.To = []string{fmt.Sprint("z", t.zoneOf(x.From[0]))} // its controllers
			}
		case 11:
			x.Kind, x.From = FaultPause, one('n')
		case 12:
			x.Kind, x.From, x.Duration = FaultKill, one('n'), 0
			if rng.IntN(4) == 0 {
				x.Kind = FaultTerminate
			}
		case 13:
			x.Kind, x.From, x.Factor = FaultSlowdown, one('x'), 2+4*rng.Float64()
		case 14:
			x.Kind, x.From = FaultHang, one('x')
		case 15:
			x.Kind, x.From = FaultCrash, one('x')
			if rng.IntN(2) == 0 {
				x.Kind, x.Duration = FaultReplace, within(2500*time.Millisecond, 4*time.Second)
			}
		case 16:
			x.Kind, x.From, x.Fraction, x.Duration = FaultDropCalls, one('x'), 0.2+0.5*rng.Float64(), 0
		case 17:
			x.Kind, x.From = storeFaults[rng.IntN(len(storeFaults))], []string{"etcd"}
			if slices.Contains(atOnce, x.Kind) {
				x.Duration = 0
			}
		case 18:
			x.Kind, x.From, x.To, x.Fraction = FaultDatagramDuplication, []string{"n*"}, []string{"names"}, 0.3+0.6*rng.Float64()
		case 19:
			x.Kind, x.From = FaultDiskFull, one('n')
		case 20:
			x.Kind, x.From, x.To, x.Fraction = FaultDatagramLoss, []string{"n*"}, []string{"n*"}, 0.3
		case 21: // halves that do not hear each other
			x.Kind, x.Name = FaultPartition, "half"
			for i, name := range t.namesOfKind('n') {
				if i%2 == 0 {
					x.From = append(x.From, name)
				} else {
					x.To = append(x.To, name)
				}
			}
		case 22:
			x.Kind, x.From, x.To, x.Jitter = FaultReorder, []string{"n*"}, []string{"n*"}, within(200*time.Millisecond, 2*time.Second)
		case 23:
			x.Kind, x.From, x.To = FaultOneWayPartition, one('n'), []string{"n*"}
		case 24:
			x.Kind, x.From, x.To, x.Fraction = FaultDatagramDuplication, []string{"n*"}, []string{"n*"}, 0.5
		case 25:
			x.Kind, x.From, x.Fraction = FaultByzantinePeer, one('n'), float64(rng.IntN(2))
		}
		s.Step = append(s.Step, x)
	}
	slices.SortFunc(s.Step, func(a, b *Fault) int { return cmp.Compare(a.At, b.At) })
	return s
}
