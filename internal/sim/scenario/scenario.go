// Package scenario says what an experiment consists of: a fleet, its exchanges, its callers and what
// goes wrong, written as TOML. A scenario with its seed says everything about a run in virtual time.
// It decides nothing and runs nothing.
package scenario

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/BurntSushi/toml"

	"olivedale/internal/admission"
	"olivedale/internal/sim/exchange"
)

// A Duration is written as Go writes it: "300ms", "1m". It is not the operator's file's, whose form is
// the product's to change: this package is laid over earlier commits, which may not have it.
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is no length of time, such as \"300ms\" or \"1m\"", text)
	}
	*d = Duration(v)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// D is the Duration as time.
func (d Duration) D() time.Duration { return time.Duration(d) }

// A Span is a range to draw from, evenly.
type Span [2]Duration

// Draw draws from it.
func (s Span) Draw(rng *rand.Rand) time.Duration {
	return s[0].D() + time.Duration(rng.Float64()*float64(s[1]-s[0]))
}

// A Scenario is an experiment.
type Scenario struct {
	Name     string   `toml:"name" json:"name"`
	About    string   `toml:"about" json:"about,omitempty"`
	Length   Duration `toml:"length" json:"length"`
	Fleet    Fleet    `toml:"fleet" json:"fleet"`
	Exchange Exchange `toml:"exchange" json:"exchange"`
	Wire     Wire     `toml:"wire" json:"wire"`
	Callers  Callers  `toml:"callers" json:"callers"`
	Class    []Class  `toml:"class" json:"class"`
	Fault    []Fault  `toml:"fault" json:"fault,omitempty"`
}

// What hostile controllers tell: that no server is pressed, or that all are.
const (
	LieWell    = "well"
	LiePressed = "pressed"
)

// A Fleet is how many there are of each.
type Fleet struct {
	Controllers int `toml:"controllers" json:"controllers"`
	Exchanges   int `toml:"exchanges" json:"exchanges"`
	Zones       int `toml:"zones" json:"zones"`
	Clients     int `toml:"clients" json:"clients"` // connections of callers to each controller
	// Share has controllers share what they know; of them a share Liars is hostile and tells Lie, "well" or "pressed".
	Share bool    `toml:"share" json:"share,omitempty"`
	Liars float64 `toml:"liars" json:"liars,omitempty"`
	Lie   string  `toml:"lie" json:"lie,omitempty"`
}

// An Exchange is what each exchange is like; the zero value of a field takes its default.
type Exchange struct {
	SetUp   Duration `toml:"set_up" json:"set_up"`
	Answer  Duration `toml:"answer" json:"answer"`
	Release Duration `toml:"release" json:"release"`
	Reject  Duration `toml:"reject" json:"reject"`
	Repeat  Duration `toml:"repeat" json:"repeat"`
	Vary    float64  `toml:"vary" json:"vary"`
	Full    Duration `toml:"full" json:"full"`
	Again   Duration `toml:"again" json:"again"`
	Ring    Duration `toml:"ring" json:"ring"`
	Lines   int      `toml:"lines" json:"lines"`
	Planned float64  `toml:"planned" json:"planned"` // share of its capacity that the planned load takes
	Start   float64  `toml:"start" json:"start"`
	Warm    Duration `toml:"warm" json:"warm"`
	Fall    float64  `toml:"fall" json:"fall"`
}

// A Wire is what messages meet on their way.
type Wire struct {
	Near   Span     `toml:"near" json:"near"` // one way within a zone
	Far    Span     `toml:"far" json:"far"`   // between zones
	News   Span     `toml:"news" json:"news"` // of the directory, to each controller
	Client Duration `toml:"client" json:"client"`
	Peer   Span     `toml:"peer" json:"peer"`           // of datagrams between controllers
	Lose   float64  `toml:"peer_lose" json:"peer_lose"` // share of those that get lost
}

// Callers are how calls come.
type Callers struct {
	Load     float64    `toml:"load" json:"load"`   // of what is planned for the exchanges of the start
	Shape    string     `toml:"shape" json:"shape"` // poisson, wave, ramp
	Swing    float64    `toml:"swing" json:"swing"` // of a wave: share of the load; of a ramp: load at its end over that at its start
	Period   Duration   `toml:"period" json:"period"`
	Tries    int        `toml:"tries" json:"tries"`           // further ones, by themselves
	Wait     Span       `toml:"wait" json:"wait"`             // before one, doubling
	Patience [2]float64 `toml:"patience" json:"patience"`     // share of the class's give-up time after which a try is given up
	Leave    float64    `toml:"leave" json:"leave,omitempty"` // share of tries given up sooner than the caller had said
	Heedless bool       `toml:"heedless" json:"heedless"`     // they do not keep away as they are asked to
	Roam     bool       `toml:"roam" json:"roam"`             // further tries come to any controller, not to the same
	Shift    Span       `toml:"shift" json:"shift"`           // so often the exchange of first choice of most calls changes
	Lean     float64    `toml:"lean" json:"lean"`             // so many times as many calls want to go to that one as to another
	Hot      float64    `toml:"hot" json:"hot"`               // share of calls that are for one number
}

// A Class is a kind of call.
type Class struct {
	Name    string   `toml:"name" json:"name"`
	Share   float64  `toml:"share" json:"share"`
	Holding Duration `toml:"holding" json:"holding"`
	Aim     Duration `toml:"aim" json:"aim"`
	GiveUp  Duration `toml:"give_up" json:"give_up"`
	Worth   float64  `toml:"worth" json:"worth"`
	Late    float64  `toml:"late" json:"late"` // share of the worth that a late call earns
}

// Pick is the index of the class that an even draw between 0 and 1 falls on, by the shares.
func Pick(all []Class, x float64) int {
	for i := range all {
		if x < all[i].Share {
			return i
		}
		x -= all[i].Share
	}
	return len(all) - 1 // shares may come to a little less than 1
}

// Back is when callers who were cut come again, unless a fault says otherwise.
var Back = span(280, 2900)

// Kinds of faults.
const (
	Slow      = "slow"       // processors take Factor times longer
	Crash     = "crash"      // exchanges end without a word
	Vanish    = "vanish"     // nothing reaches them or comes from them
	Hang      = "hang"       // they take everything and do nothing
	Replace   = "replace"    // a deploy: they drain and stop, others start cold
	LoseLines = "lose_lines" // a zone keeps Keep of its lines
	Cut       = "cut"        // a share of the calls that stand is cut, and comes again
	Burst     = "burst"      // Factor times the calls
	NamesLost = "names_lost" // the directory says nothing
	NamesLate = "names_late" // its word comes By later
	NamesLie  = "names_lie"  // it says that exchanges that run are gone
	Reset     = "reset"      // connections are reset
	Half      = "half"       // a share of the answers never arrives
	Spoil     = "spoil"      // a share of the answers cannot be read: the connection is closed
	Twice     = "twice"      // a share of the answers comes twice
	Skew      = "skew"       // clocks of exchanges are By off, as starts are told by them
	Kill      = "kill"       // controllers are killed and start again after By
	Lost      = "lost"       // a share of the set-ups never arrives
	Dead      = "dead"       // connections to a share of the exchanges stay open and carry nothing, until they are made anew
	Sever     = "sever"      // a zone and the others do not reach each other, and nobody is told
	Roll      = "roll"       // all controllers are restarted in order, a tenth at a time, over For; each is away for By
)

// Kinds lists them.
var Kinds = []string{Slow, Crash, Vanish, Hang, Replace, LoseLines, Cut, Burst, NamesLost, NamesLate, NamesLie, Reset, Half, Spoil, Twice, Skew, Kill, Lost, Dead, Sever, Roll}

// A Fault is something that goes wrong at a time, for a while.
type Fault struct {
	Kind   string   `toml:"kind" json:"kind"`
	At     Duration `toml:"at" json:"at"`
	For    Duration `toml:"for" json:"for,omitempty"`
	Share  float64  `toml:"share" json:"share,omitempty"`   // of exchanges, controllers, calls or answers
	Factor float64  `toml:"factor" json:"factor,omitempty"` // of Slow and Burst
	Keep   float64  `toml:"keep" json:"keep,omitempty"`     // of LoseLines
	By     Duration `toml:"by" json:"by,omitempty"`
	Back   Span     `toml:"back" json:"back"` // callers who were cut come again after this
}

// String implements fmt.Stringer.
func (f Fault) String() string {
	s := fmt.Sprintf("%s at %v", f.Kind, f.At.D())
	if f.For > 0 {
		s += fmt.Sprintf(" for %v", f.For.D())
	}
	for _, x := range []struct {
		name string
		v    float64
	}{{"share", f.Share}, {"factor", f.Factor}, {"keep", f.Keep}} {
		if x.v != 0 {
			s += fmt.Sprintf(", %s %v", x.name, x.v)
		}
	}
	if f.By != 0 {
		s += fmt.Sprintf(", by %v", f.By.D())
	}
	return s
}

func ms(n float64) Duration { return Duration(n * float64(time.Millisecond)) }

func span(from, to float64) Span { return Span{ms(from), ms(to)} }

// Default is a quiet day of the size that the operators have: what a file leaves out. The figures are
// those of their description, in the middle of the ranges where it gives ranges; how a call's work
// divides into set-up, answer and release is this project's choice, as it does not say.
func Default() Scenario {
	return Scenario{Name: "quiet", Length: ms(60000),
		Fleet: Fleet{Controllers: 7, Exchanges: 3, Zones: 3, Clients: 4},
		Exchange: Exchange{SetUp: ms(15), Answer: ms(8), Release: ms(7), Reject: ms(4), Repeat: ms(2), Vary: 0.3, Full: ms(2900), Again: ms(500),
			Ring: ms(40), Lines: 2000, Planned: 0.8, Start: 0.31, Warm: ms(15000), Fall: 3},
		Wire:    Wire{Near: span(0.3, 1.5), Far: span(13, 22), News: span(500, 3000), Client: ms(1), Peer: span(2.1, 13)},
		Callers: Callers{Load: 0.7, Shape: "poisson", Period: ms(30000), Tries: 3, Wait: span(500, 2000), Patience: [2]float64{0.3, 0.4}, Shift: span(11000, 20000), Lean: 2},
		Class: []Class{
			{"resident-call", 0.61, ms(9000), ms(1500), ms(9000), 1, 0.25},
			{"concierge-call", 0.17, ms(13500), ms(1200), ms(9000), 3, 0.25},
			{"delivery-call", 0.22, ms(6300), ms(2000), ms(9000), 1, 0.25},
		}}
}

// Parse reads a scenario; what it leaves out is as in Default.
func Parse(text []byte) (*Scenario, error) {
	s := Default()
	var classes struct {
		Class []Class `toml:"class"`
	}
	if _, err := toml.Decode(string(text), &classes); err == nil && len(classes.Class) > 0 {
		s.Class = nil // the file's own, not those of the default with some over
	}
	meta, err := toml.Decode(string(text), &s)
	var parse toml.ParseError
	switch {
	case errors.As(err, &parse):
		return nil, fmt.Errorf("line %d: %s", parse.Position.Line, parse.Message)
	case err != nil:
		return nil, errors.New(strings.TrimPrefix(err.Error(), "toml: "))
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, fmt.Errorf("%s: unknown key", unknown[0])
	}
	if err := s.Check(); err != nil {
		return nil, err
	}
	return &s, nil
}

// Load reads a scenario's file.
func Load(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	s, err := Parse(text)
	if err != nil {
		return nil, fmt.Errorf("scenario: %s: %w", path, err)
	}
	return s, nil
}

// Bounds of a scenario, so that a slip of the pen does not run for a week.
const (
	mostControllers = 2000
	mostExchanges   = 5000
	longest         = 24 * time.Hour
)

// Check tells what cannot be run.
func (s *Scenario) Check() error {
	f, c := &s.Fleet, &s.Callers
	switch {
	case s.Length.D() <= 0 || s.Length.D() > longest:
		return fmt.Errorf("length: %v is not between 0 and %v", s.Length.D(), longest)
	case f.Controllers < 1 || f.Controllers > mostControllers:
		return fmt.Errorf("fleet.controllers: %d is not between 1 and %d", f.Controllers, mostControllers)
	case f.Exchanges < 1 || f.Exchanges > mostExchanges:
		return fmt.Errorf("fleet.exchanges: %d is not between 1 and %d", f.Exchanges, mostExchanges)
	case f.Zones < 1 || f.Clients < 1:
		return errors.New("fleet: zones and clients must be one at least")
	case f.Liars < 0 || f.Liars > 1 || f.Liars > 0 && f.Lie != LieWell && f.Lie != LiePressed:
		return errors.New("fleet: liars is a share between 0 and 1, lie is \"well\" or \"pressed\"")
	case s.Wire.Lose < 0 || s.Wire.Lose > 1:
		return fmt.Errorf("wire.peer_lose: %v is not between 0 and 1", s.Wire.Lose)
	case s.Exchange.Planned <= 0 || s.Exchange.Planned > 1:
		return fmt.Errorf("exchange.planned: %v is not between 0 and 1", s.Exchange.Planned)
	case c.Load < 0 || c.Load > 20:
		return fmt.Errorf("callers.load: %v is not between 0 and 20", c.Load)
	case !slices.Contains([]string{"poisson", "wave", "ramp"}, c.Shape):
		return fmt.Errorf("callers.shape: %q is none of poisson, wave, ramp", c.Shape)
	case c.Shape == "wave" && (c.Swing < 0 || c.Swing > 1):
		return fmt.Errorf("callers.swing: %v of a wave is not between 0 and 1", c.Swing)
	case c.Leave < 0 || c.Leave > 1:
		return fmt.Errorf("callers.leave: %v is not between 0 and 1", c.Leave)
	case c.Lean < 0 || c.Hot < 0 || c.Hot > 1:
		return errors.New("callers: lean must not be negative, hot is a share between 0 and 1")
	case len(s.Class) == 0:
		return errors.New("class: there is none")
	}
	sum := 0.0
	for _, k := range s.Class {
		sum += k.Share
		if k.Aim <= 0 || k.GiveUp < k.Aim || k.Holding <= 0 || k.Share < 0 {
			return fmt.Errorf("class %q: aim, give_up and holding must be positive, give_up not before aim", k.Name)
		}
	}
	if math.Abs(sum-1) > 0.001 {
		return fmt.Errorf("class: the shares come to %v, not 1", sum)
	}
	for i, x := range s.Fault {
		bad := func(why string) error { return fmt.Errorf("fault %d (%s): %s", i+1, x.Kind, why) }
		switch {
		case !slices.Contains(Kinds, x.Kind):
			return bad("none of " + strings.Join(Kinds, ", "))
		case x.At < 0 || x.For < 0:
			return bad("at and for must not be negative")
		case x.Share < 0 || x.Share > 1 || x.Keep < 0 || x.Keep > 1:
			return bad("share and keep are between 0 and 1")
		case (x.Kind == Slow || x.Kind == Burst) && x.Factor <= 0:
			return bad("factor is missing")
		}
	}
	x := s.Model()
	return x.Check()
}

// Model is what each exchange is like.
func (s *Scenario) Model() exchange.Settings {
	e := &s.Exchange
	m := exchange.Settings{SetUp: e.SetUp.D(), Answer: e.Answer.D(), Release: e.Release.D(), Reject: e.Reject.D(), Repeat: e.Repeat.D(), Vary: e.Vary, Full: e.Full.D(),
		Again: e.Again.D(), Ring: e.Ring.D(), Lines: e.Lines, Start: e.Start, Warm: e.Warm.D(), Fall: e.Fall, FallFor: time.Second, Holding: make(map[string]time.Duration)}
	for _, k := range s.Class {
		m.Holding[k.Name] = k.Holding.D()
	}
	return m
}

// Settings are what a controller is told.
func (s *Scenario) Settings() admission.Settings {
	set := admission.Settings{ControllerCount: s.Fleet.Controllers, Topology: "pools", MaxAttempts: 4, CanCancel: true, ResendInterval: s.Exchange.Again.D(),
		RetryGuard: 300 * time.Millisecond, SlowStartPeriod: s.Exchange.Warm.D(), SlowStartShare: s.Exchange.Start}
	for _, k := range s.Class {
		set.Classes = append(set.Classes, admission.Class{Name: k.Name, LatencyObjective: k.Aim.D(), Deadline: k.GiveUp.D(), Weight: k.Worth, LateWeightFactor: k.Late})
	}
	return set
}

// Rate is how many calls a second are planned for all exchanges.
func (s *Scenario) Rate() float64 {
	m := s.Model()
	return s.Exchange.Planned * m.Capacity() * float64(s.Fleet.Exchanges)
}

// Offered is the share of the planned load that callers offer at a time, faults left out.
func (s *Scenario) Offered(at time.Duration) float64 {
	c := &s.Callers
	switch c.Shape {
	case "wave":
		return c.Load * (1 + c.Swing*math.Sin(2*math.Pi*at.Seconds()/max(c.Period.D().Seconds(), 0.001)))
	case "ramp":
		share := min(at.Seconds()/s.Length.D().Seconds(), 1)
		return c.Load * (1 + (c.Swing-1)*share)
	}
	return c.Load
}
