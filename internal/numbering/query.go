package numbering

// Query is one call to be routed.
type Query struct {
	Number string // as dialled; blanks and the characters -./() are ignored
	Class  string // class of the call; bars may apply to some classes only
	At     Time
	Seed   uint64        // seed of the weighted choice of pools, the same for all attempts of a call; see Seed
	Ported PortingResult // result of the portability look-up
}

// PortingResult is the result of the portability look-up of a number.
type PortingResult struct {
	State   PortingState
	Routing Digits // routing number in E.164 digits, if State is Moved
}

// PortingState is the state of the portability look-up of a number.
type PortingState uint8

// Values of PortingState.
const (
	NotLookedUp    PortingState = iota
	NotPorted                   // the number is routed by its own digits
	Moved                       // the number is routed by its routing number
	PortingUnknown              // no server answered in time; the number is routed by its own digits
)

// Verdict is the kind of a Decision.
type Verdict uint8

// Values of Verdict.
const (
	Routed         Verdict = iota
	Rejected               // with Decision.Cause, without an attempt
	LookUpRequired         // the number may be ported: it has to be looked up first
)

var verdictNames = [...]string{"routed", "refused", "ask"}

// String returns the name that olivectl prints.
func (v Verdict) String() string { return verdictNames[v] }

// MaxPools is the greatest number of pools in a decision; further targets are left out.
const MaxPools = 16

// Decision is the result of the analysis of a number.
type Decision struct {
	Verdict   Verdict
	Cause     int // Q.850 cause, if the call is rejected
	Emergency bool
	Number    Digits // in E.164 form; as dialled for an emergency number
	Route     string
	pools     [MaxPools]int16
	poolCount uint8
}

// Pools returns the pools that may take the call, in order of preference.
func (d *Decision) Pools() []int {
	pools := make([]int, d.poolCount)
	for i := range pools {
		pools[i] = int(d.pools[i])
	}
	return pools
}

// Pool returns the pool of preference i, from 0; ok is false if there are not so many.
func (d *Decision) Pool(i int) (pool int, ok bool) {
	if i < 0 || i >= int(d.poolCount) {
		return 0, false
	}
	return int(d.pools[i]), true
}

// addPool appends a pool unless the decision has it already or is full.
func (d *Decision) addPool(pool int) {
	for i := range int(d.poolCount) {
		if int(d.pools[i]) == pool {
			return
		}
	}
	if int(d.poolCount) < MaxPools {
		d.pools[d.poolCount] = int16(pool)
		d.poolCount++
	}
}

// reject makes d a rejection with a Q.850 cause.
func (d *Decision) reject(cause int) {
	d.Verdict = Rejected
	d.Cause = cause
}
