package numbering

// Query is one call to be routed.
type Query struct {
	Number string // as dialled; spaces and the characters -./() are ignored
	Class  string // class of the call; bars may be limited to classes
	At     Time
	Seed   uint64        // for the weighted choice of pools; equal for all attempts of a call, see Seed
	Ported PortingResult // result of the portability look-up
}

// PortingResult is the result of the portability look-up of a number.
type PortingResult struct {
	State   PortingState
	Routing Digits // routing number, if State is Ported
}

// PortingState is the state of the portability look-up of a number.
type PortingState uint8

// Values of PortingState.
const (
	NotLookedUp    PortingState = iota
	NotPorted                   // the number is routed by its own digits
	Ported                      // the number is routed by its routing number
	PortingUnknown              // no server answered in time; the number is routed by its own digits
)

// Verdict is the kind of a Decision.
type Verdict uint8

// Values of Verdict.
const (
	Routed         Verdict = iota
	Rejected               // no attempt is made; the cause is Decision.Cause
	LookUpRequired         // the query must be repeated with the result of a portability look-up
)

var verdictNames = [...]string{"routed", "refused", "ask"}

// String returns the name that olivectl prints.
func (v Verdict) String() string { return verdictNames[v] }

// MaxPools is the maximum number of pools in a decision; further pools are dropped.
const MaxPools = 16

// Decision is the result of Table.Analyse.
type Decision struct {
	Verdict   Verdict
	Cause     int // Q.850 cause, if the call is rejected
	Emergency bool
	Number    Digits // in E.164 form; an emergency number is as dialled
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

// Pool returns the pool at position i of the order of preference, from 0; ok is false if there is none.
func (d *Decision) Pool(i int) (pool int, ok bool) {
	if i < 0 || i >= int(d.poolCount) {
		return 0, false
	}
	return int(d.pools[i]), true
}

// addPool appends a pool unless it is already in the decision or the decision has MaxPools pools.
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

// reject sets the verdict to a rejection with a Q.850 cause.
func (d *Decision) reject(cause int) {
	d.Verdict = Rejected
	d.Cause = cause
}
