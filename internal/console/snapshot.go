// Package console shows a fleet of call controllers on a terminal: as it is now, asked of
// agents or read from live stores, or as it was, played from records. What is shown is a
// Snapshot; the sources make them, the model turns keys into views, and nothing here decides
// anything about calls.
package console

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"
)

// Counts are calls since an instance's start.
type Counts struct {
	Offered uint64 `json:"offered"`
	Stood   uint64 `json:"stood"`
	Late    uint64 `json:"late"`
	Refused uint64 `json:"refused"`
	Failed  uint64 `json:"failed"`
	GivenUp uint64 `json:"given_up"`
	Cut     uint64 `json:"cut"`
	Tries   uint64 `json:"attempts"`
}

func (c *Counts) fields() [8]*uint64 {
	return [...]*uint64{&c.Offered, &c.Stood, &c.Late, &c.Refused, &c.Failed, &c.GivenUp, &c.Cut, &c.Tries}
}

func (c *Counts) add(o Counts) {
	from := o.fields()
	for i, f := range c.fields() {
		*f += *from[i]
	}
}

// Rates are the same a second. A rate that is not known is NaN: at the first look, over a
// restart, and over a gap in the records.
type Rates struct{ Offered, Stood, Refused, Failed, Cut, Tries float64 }

var unknownRates = Rates{math.NaN(), math.NaN(), math.NaN(), math.NaN(), math.NaN(), math.NaN()}

// between is the rates from one count to the next.
func between(old, now Counts, took time.Duration) Rates {
	if took <= 0 || now.Offered < old.Offered || now.Tries < old.Tries || now.Stood < old.Stood {
		return unknownRates // it has started anew
	}
	r := func(a, b uint64) float64 { return float64(b-min(a, b)) / took.Seconds() }
	return Rates{r(old.Offered, now.Offered), r(old.Stood, now.Stood), r(old.Refused, now.Refused), r(old.Failed, now.Failed), r(old.Cut, now.Cut), r(old.Tries, now.Tries)}
}

// plus adds rates; what is not known makes the sum unknown.
func (r Rates) plus(o Rates) Rates {
	return Rates{r.Offered + o.Offered, r.Stood + o.Stood, r.Refused + o.Refused, r.Failed + o.Failed, r.Cut + o.Cut, r.Tries + o.Tries}
}

// States of an instance beside those that an agent tells.
const (
	StateRunning  = "running"
	StateStopping = "stopping"
	StateEnded    = "ended"
	StateKilled   = "killed"
	StateSilent   = "silent" // it does not answer; what is shown is of the time given as Seen
)

// An Instance is one call controller.
type Instance struct {
	Name     string
	Agent    string // by which it is known; "" from records
	State    string
	Problem  string // why it could not be asked
	PID      string
	Starts   int
	Seen     time.Time // of this age is what is shown
	Total    Counts
	Rates    Rates
	Open     int // calls whose answer is owed
	Standing int
	Lost     uint64 // records
	Numbers  string // digest of the table of numbers in force; "": none, or not told
	Gap      bool   // records are lost just before Seen
	Classes  []Class
	Servers  []Server
}

// A Class is a kind of call at an instance or in the fleet.
type Class struct {
	Name string
	Counts
	Rates Rates
}

// A Server is what an instance, or the fleet, knows of one.
type Server struct {
	Name    string
	Pool    int
	Phase   string // listed, drains, gone
	Cold    bool
	Ceiling float64 // set-ups a second; +Inf none, NaN not told
	Pressed int     // instances that have set one (fleet)
	Heard   int     // instances that know it (fleet)
	Tries   uint64
	Stood   uint64
	Cut     uint64
	Rate    float64 // attempts a second, NaN: not known
}

// An Event is something that happened of late.
type Event struct {
	At       time.Time
	Instance string
	Server   string
	Kind     string
	Text     string
	Bad      bool
}

// A Call is the life of one call as far as it is known.
type Call struct {
	ID, Class, Server, Outcome string
	Instance                   string
	At                         time.Time
	Took                       time.Duration
	Tries                      int
	Lines                      []string
}

// A Snapshot is a fleet at one time.
type Snapshot struct {
	At        time.Time
	Source    string
	Replay    bool
	Speed     float64 // of a replay; 0: it is held
	Over      bool    // the replay is at its end
	Instances []Instance
	Events    []Event // the latest first
	Calls     []Call  // the latest first; only from records
}

// Totals sums the fleet up. Rates sum over the instances that answer; not over those whose
// state is an end. The second result is how many instances are left out of the rates.
func (s *Snapshot) Totals() (c Counts, r Rates, left int) {
	for i := range s.Instances {
		in := &s.Instances[i]
		c.add(in.Total)
		switch {
		case in.State == StateEnded || in.State == StateKilled:
		case math.IsNaN(in.Rates.Offered):
			left++
		default:
			r = r.plus(in.Rates)
		}
	}
	return c, r, left
}

// Numbers is the digest of the table of numbers that most instances have in force; of two that are
// equally many the one that comes first in the alphabet. An instance with another is a straggler, or
// the first of a change.
func (s *Snapshot) Numbers() (most string) {
	have := make(map[string]int)
	for _, in := range s.Instances {
		if in.Numbers != "" {
			have[in.Numbers]++
		}
	}
	for digest, n := range have {
		if most == "" || n > have[most] || n == have[most] && digest < most {
			most = digest
		}
	}
	return most
}

// strays tells whether an instance that runs has another table than most have.
func (in *Instance) strays(most string) bool {
	return most != "" && in.State == StateRunning && in.Numbers != most
}

// Servers puts together what the instances know of each server.
func (s *Snapshot) Servers() []Server {
	by := make(map[string]*Server)
	for _, in := range s.Instances {
		for _, x := range in.Servers {
			k := by[x.Name]
			if k == nil {
				k = &Server{Name: x.Name, Pool: x.Pool, Phase: x.Phase, Ceiling: math.Inf(1)}
				by[x.Name] = k
			}
			k.Heard++
			if x.Phase != "listed" {
				k.Phase = x.Phase
			}
			k.Cold = k.Cold || x.Cold
			if !math.IsNaN(x.Ceiling) && !math.IsInf(x.Ceiling, 1) {
				if k.Pressed++; k.Pressed == 1 {
					k.Ceiling = 0
				}
				k.Ceiling += x.Ceiling
			}
			k.Tries, k.Stood, k.Cut, k.Rate = k.Tries+x.Tries, k.Stood+x.Stood, k.Cut+x.Cut, k.Rate+x.Rate
		}
	}
	return values(by, func(x *Server) string { return x.Name })
}

// Classes puts together what the instances know of each class.
func (s *Snapshot) Classes() []Class {
	by := make(map[string]*Class)
	for _, in := range s.Instances {
		for _, x := range in.Classes {
			k := by[x.Name]
			if k == nil {
				k = &Class{Name: x.Name}
				by[x.Name] = k
			}
			k.add(x.Counts)
			k.Rates = k.Rates.plus(x.Rates)
		}
	}
	return values(by, func(x *Class) string { return x.Name })
}

// values are a map's in the order of their names.
func values[V any](by map[string]*V, name func(*V) string) []V {
	all := make([]V, 0, len(by))
	for _, v := range by {
		all = append(all, *v)
	}
	slices.SortFunc(all, func(a, b V) int { return strings.Compare(name(&a), name(&b)) })
	return all
}

// A rater turns snapshots' counts into rates by the snapshot before.
type rater struct{ last map[string]Instance }

// rate fills in the rates of a snapshot.
func (r *rater) rate(s *Snapshot) {
	next := make(map[string]Instance, len(s.Instances))
	for i := range s.Instances {
		in := &s.Instances[i]
		key := in.Agent + "/" + in.Name
		old, known := r.last[key]
		took := in.Seen.Sub(old.Seen)
		if known && took <= 0 { // nothing new was heard: what was known stays, and its age shows
			in.Rates = old.Rates
			copy(in.Classes, old.Classes)
			copy(in.Servers, old.Servers)
			next[key] = old
			continue
		}
		fresh := known && !in.Gap && old.Starts == in.Starts
		in.Rates = unknownRates
		if fresh {
			in.Rates = between(old.Total, in.Total, took)
		}
		for k := range in.Classes {
			c := &in.Classes[k]
			c.Rates = unknownRates
			if j := slices.IndexFunc(old.Classes, func(o Class) bool { return o.Name == c.Name }); fresh && j >= 0 {
				c.Rates = between(old.Classes[j].Counts, c.Counts, took)
			} else if fresh {
				c.Rates = between(Counts{}, c.Counts, took)
			}
		}
		for k := range in.Servers {
			x := &in.Servers[k]
			x.Rate = math.NaN()
			if !fresh {
				continue
			}
			before := uint64(0)
			if j := slices.IndexFunc(old.Servers, func(o Server) bool { return o.Name == x.Name }); j >= 0 {
				before = old.Servers[j].Tries
			}
			if x.Tries >= before {
				x.Rate = float64(x.Tries-before) / took.Seconds()
			}
		}
		next[key] = *in
	}
	r.last = next
	slices.SortStableFunc(s.Instances, func(a, b Instance) int {
		return cmp.Or(strings.Compare(a.Name, b.Name), strings.Compare(a.Agent, b.Agent))
	})
}
