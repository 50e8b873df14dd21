// Package scenario defines the TOML description of a simulated experiment: the fleet, the exchanges, the network,
// the callers and the faults. A scenario and a seed fully determine a run in virtual time. The package parses and
// checks scenarios and derives settings from them; it does not run them.
package scenario

// A Scenario describes an experiment.
type Scenario struct {
	Name     string   `toml:"name" json:"name"`
	About    string   `toml:"about" json:"about,omitempty"`
	Length   Duration `toml:"length" json:"length"`
	Fleet    Fleet    `toml:"fleet" json:"fleet"`
	Exchange Exchange `toml:"exchange" json:"exchange"`
	Network  Network  `toml:"wire" json:"wire"`
	Callers  Callers  `toml:"callers" json:"callers"`
	Class    []Class  `toml:"class" json:"class"`
	Fault    []Fault  `toml:"fault" json:"fault,omitempty"`
}

// Values of Fleet.ByzantineReport: byzantine controllers report that no server is overloaded, or that all are.
const (
	ReportNoOverload = "well"
	ReportOverload   = "pressed"
)

// A Fleet is the size of the simulated deployment.
type Fleet struct {
	Controllers int `toml:"controllers" json:"controllers"`
	Exchanges   int `toml:"exchanges" json:"exchanges"`
	Zones       int `toml:"zones" json:"zones"`
	Clients     int `toml:"clients" json:"clients"` // client connections to each controller
	// OverloadControl enables the distributed overload control of the controllers.
	OverloadControl bool `toml:"share" json:"share,omitempty"`
	// ByzantineShare is the share of controllers that send false load reports, of the kind ByzantineReport.
	ByzantineShare  float64 `toml:"liars" json:"liars,omitempty"`
	ByzantineReport string  `toml:"lie" json:"lie,omitempty"` // ReportNoOverload or ReportOverload
}

// An Exchange holds the parameters of each emulated exchange: service times, circuits and slow start.
type Exchange struct {
	SetUp              Duration `toml:"set_up" json:"set_up"`   // service time of a set-up
	Answer             Duration `toml:"answer" json:"answer"`   // service time of an answer
	Release            Duration `toml:"release" json:"release"` // service time of a release
	Reject             Duration `toml:"reject" json:"reject"`   // service time of a rejected set-up
	Repeat             Duration `toml:"repeat" json:"repeat"`   // service time of a repeated set-up
	Variation          float64  `toml:"vary" json:"vary"`       // coefficient of variation of service times
	RejectDelay        Duration `toml:"full" json:"full"`       // queueing delay from which set-ups are rejected
	RetransmitInterval Duration `toml:"again" json:"again"`     // first retransmission interval, doubling; 0: never
	Ring               Duration `toml:"ring" json:"ring"`       // mean time until the called side answers, exponential
	Circuits           int      `toml:"lines" json:"lines"`     // circuits
	Planned            float64  `toml:"planned" json:"planned"` // planned load as a share of the capacity
	SlowStartShare     float64  `toml:"start" json:"start"`     // share of the capacity when slow start begins
	SlowStartPeriod    Duration `toml:"warm" json:"warm"`       // slow-start period
	SlowStartFailure   float64  `toml:"fall" json:"fall"`       // multiple of the capacity at which it fails; 0: never
}

// A Network holds the delays and the loss of messages.
type Network struct {
	Near            DurationRange `toml:"near" json:"near"`           // one-way delay within a zone
	Far             DurationRange `toml:"far" json:"far"`             // one-way delay between zones
	EndpointUpdates DurationRange `toml:"news" json:"news"`           // delay of endpoint updates to each controller
	Client          Duration      `toml:"client" json:"client"`       // one-way delay between clients and controllers
	Peer            DurationRange `toml:"peer" json:"peer"`           // delay of datagrams between controllers
	PeerLoss        float64       `toml:"peer_lose" json:"peer_lose"` // share of those datagrams that are lost
}

// Shapes of the offered load over time.
const (
	shapePoisson = "poisson"
	shapeWave    = "wave"
	shapeRamp    = "ramp"
)

// Callers describes the behaviour of the callers: arrivals, redials and abandonment.
type Callers struct {
	Load  float64 `toml:"load" json:"load"`   // offered load as a multiple of the planned load at the start
	Shape string  `toml:"shape" json:"shape"` // poisson (constant rate), wave (sine) or ramp (linear)
	// Swing is, for a wave, its amplitude as a share of the load; for a ramp, the final load over the initial load.
	Swing       float64       `toml:"swing" json:"swing"`
	Period      Duration      `toml:"period" json:"period"` // of a wave
	MaxRedials  int           `toml:"tries" json:"tries"`   // maximum number of redials
	RedialDelay DurationRange `toml:"wait" json:"wait"`     // delay of the first redial; it doubles with each
	// Patience is the range of the time after which a caller abandons a call, as a share of the deadline.
	Patience           [2]float64    `toml:"patience" json:"patience"`
	AbandonShare       float64       `toml:"leave" json:"leave,omitempty"` // share of calls abandoned early
	IgnoresRetryAfter  bool          `toml:"heedless" json:"heedless"`     // callers ignore Retry-After
	RedialsAnywhere    bool          `toml:"roam" json:"roam"`             // redials go to any controller
	PreferenceInterval DurationRange `toml:"shift" json:"shift"`           // between changes of the preferred pool
	PreferredWeight    float64       `toml:"lean" json:"lean"`             // weight of that pool; the others have 1
	HotNumberShare     float64       `toml:"hot" json:"hot"`               // share of the calls that go to one number
}

// A Class is a kind of call.
type Class struct {
	Name             string   `toml:"name" json:"name"`
	Share            float64  `toml:"share" json:"share"`     // of all calls
	Holding          Duration `toml:"holding" json:"holding"` // mean duration of established calls
	LatencyObjective Duration `toml:"aim" json:"aim"`         // for the set-up
	Deadline         Duration `toml:"give_up" json:"give_up"` // for the final answer
	Weight           float64  `toml:"worth" json:"worth"`     // in the service figures
	LateShare        float64  `toml:"late" json:"late"`       // share of Weight that a call established late earns
}

// Pick returns the index of the class that a uniform draw between 0 and 1 selects by the classes' shares.
func Pick(classes []Class, draw float64) int {
	for i := range classes {
		if draw < classes[i].Share {
			return i
		}
		draw -= classes[i].Share
	}
	return len(classes) - 1 // the shares may add up to slightly less than 1
}
