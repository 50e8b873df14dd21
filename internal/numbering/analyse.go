package numbering

import (
	"encoding/binary"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// A Query is what is asked of a table.
type Query struct {
	Number string // as dialled; blanks and the signs -./() in it mean nothing
	Class  string
	At     Time
	Seed   uint64 // of the call: settles the draw by weight, the same for all its attempts
	Ported Ported // what a look-up has brought
}

// Ported is what is known of a number that may have moved.
type Ported struct {
	State   PortingState
	Routing Digits // routing number in E.164 digits, where it has moved
}

// A PortingState says how far a look-up is.
type PortingState uint8

// States of a look-up.
const (
	NotLookedUp PortingState = iota
	NotPorted                // it has not moved
	Moved                    // to Routing
	Undecided                // nobody could tell in time: it is routed by the number itself
)

// Digits is a number without the plus. The zero value is none.
type Digits struct {
	b [maxDigits]byte
	n uint8
}

// MakeDigits takes digits; ok is false for anything else.
func MakeDigits(s string) (d Digits, ok bool) {
	if !isDigits(s) {
		return d, false
	}
	d.n = uint8(copy(d.b[:], s))
	return d, true
}

// String implements fmt.Stringer.
func (d Digits) String() string { return string(d.b[:d.n]) }

// A Verdict is what becomes of a number.
type Verdict uint8

// Verdicts.
const (
	Routed   Verdict = iota
	Rejected         // at once, with Cause
	Ask              // the number may have moved: a look-up comes first
)

var verdictNames = [...]string{"routed", "refused", "ask"}

// String implements fmt.Stringer.
func (v Verdict) String() string { return verdictNames[v] }

// MaxPools bounds the pools of one decision; targets past it are left out.
const MaxPools = 16

// A Decision is a table's word on a number.
type Decision struct {
	Verdict   Verdict
	Cause     int // of Q.850, where it is refused
	Emergency bool
	Number    Digits // as it is routed
	Route     string
	pools     [MaxPools]int16
	n         uint8
}

// Pools are those that the call may go to, the preferred first.
func (d *Decision) Pools() []int {
	out := make([]int, d.n)
	for i := range out {
		out[i] = int(d.pools[i])
	}
	return out
}

// Pool is the i-th of them; ok is false past the last.
func (d *Decision) Pool(i int) (pool int, ok bool) {
	if i < 0 || i >= int(d.n) {
		return 0, false
	}
	return int(d.pools[i]), true
}

// Analyse decides on a number. It allocates nothing and reads only the table and the query, so the
// same query of the same table has the same answer at any time and place.
func (t *Table) Analyse(q *Query) (d Decision) { return t.analyse(q, nil) }

// Explain is Analyse with each step told.
func (t *Table) Explain(q *Query) (d Decision, steps []string) {
	d = t.analyse(q, func(format string, args ...any) { steps = append(steps, fmt.Sprintf(format, args...)) })
	return d, steps
}

// tell notes a step; nil in service.
type tell func(format string, args ...any)

func (t *Table) analyse(q *Query, say tell) (d Decision) {
	var buf [maxDigits]byte
	digits, plus, ok := clean(buf[:0], q.Number)
	if !ok {
		if say != nil {
			say("%q is no number of at most %d digits: cause %d", q.Number, maxDigits, CauseUnallocated)
		}
		return refuse(d, CauseUnallocated)
	}
	if say != nil {
		say("dialled %q: digits %s, international %v", q.Number, string(digits), plus)
	}
	if n, urgent := t.urgent[string(digits)]; urgent && !plus {
		d.Emergency = true
		if say != nil {
			say("an emergency number: nothing bars, translates or looks it up")
		}
		return t.send(d, digits, n, q, say)
	}
	if !plus {
		digits = t.translate(digits, say)
	}
	digits = t.normalise(digits, plus, q.Class, say)
	if len(digits) == 0 || len(digits) > t.most {
		if say != nil {
			say("%d digits, the table has 1 to %d: cause %d", len(digits), t.most, CauseUnallocated)
		}
		return refuse(d, CauseUnallocated)
	}
	d.Number.n = uint8(copy(d.Number.b[:], digits))
	if e, n := t.bars.find(digits); e >= 0 {
		if b := &t.bars.entries[e]; t.barsClass(b, q.Class) {
			if say != nil {
				say("barred %d bars %s: cause %d", b.line, string(digits[:n]), b.cause)
			}
			return refuse(d, int(b.cause))
		} else if say != nil {
			say("barred %d bars %s, not for class %q", b.line, string(digits[:n]), q.Class)
		}
	}
	e, n := t.numbers.find(digits)
	if e < 0 {
		if t.other < 0 {
			if say != nil {
				say("nothing matches %s and there is no default: cause %d", string(digits), CauseUnallocated)
			}
			return refuse(d, CauseUnallocated)
		}
		if say != nil {
			say("nothing matches %s: the default", string(digits))
		}
		return t.send(d, digits, t.other, q, say)
	}
	x := &t.numbers.entries[e]
	if say != nil {
		say("the longest match is %s (entry %d)", string(digits[:n]), x.line)
	}
	if x.ported {
		switch q.Ported.State {
		case NotLookedUp:
			if say != nil {
				say("its numbers may have moved: a look-up comes first")
			}
			d.Verdict = Ask
			return d
		case Moved:
			moved := q.Ported.Routing.b[:q.Ported.Routing.n]
			if e, n = t.numbers.find(moved); e < 0 {
				if say != nil {
					say("it has moved to %s, which nothing matches: cause %d", string(moved), CauseNoRoute)
				}
				return refuse(d, CauseNoRoute)
			}
			if x = &t.numbers.entries[e]; say != nil { // asked once: a routing number is not looked up again
				say("it has moved to %s; the longest match is %s (entry %d)", string(moved), string(moved[:n]), x.line)
			}
		default:
			if say != nil {
				say("it may have moved; %s", [...]string{"", "it stays", "", "nobody could tell in time"}[q.Ported.State])
			}
		}
	}
	return t.send(d, digits, x.route, q, say)
}

func refuse(d Decision, cause int) Decision {
	d.Verdict, d.Cause = Rejected, cause
	return d
}

func (t *Table) barsClass(b *entry, class string) bool {
	if b.only < 0 {
		return true
	}
	for _, k := range t.barLine[b.only] {
		if k == class {
			return true
		}
	}
	return false
}

// clean takes what people write between digits out of a number.
func clean(b []byte, number string) (digits []byte, plus, ok bool) {
	for i := range len(number) {
		switch c := number[i]; {
		case c >= '0' && c <= '9':
			if len(b) == cap(b) {
				return nil, false, false // more digits than any plan has
			}
			b = append(b, c)
		case c == '+' && len(b) == 0 && !plus:
			plus = true
		case c == ' ' || c == '-' || c == '.' || c == '(' || c == ')' || c == '/':
		default:
			return nil, false, false
		}
	}
	return b, plus, len(b) > 0
}

// translate applies translations until none matches. Rules with a loop do not compile; the bound
// guards against those that compile and grow a number in circles all the same.
func (t *Table) translate(digits []byte, say tell) []byte {
	for range len(t.steps) + 1 {
		at := -1
		for i := range t.steps {
			x := &t.steps[i]
			if len(digits) < len(x.Match) || string(digits[:len(x.Match)]) != x.Match || x.Exact && len(digits) != len(x.Match) {
				continue
			}
			at = i
			break
		}
		if at < 0 {
			return digits
		}
		x := &t.steps[at]
		rest := len(digits) - x.Strip
		if rest+len(x.Add) > cap(digits) {
			return digits[:0] // too long for any plan
		}
		var out [maxDigits]byte
		n := copy(out[:], x.Add)
		n += copy(out[n:], digits[x.Strip:])
		digits = append(digits[:0], out[:n]...)
		if say != nil {
			say("translated by %s: %s", x.Match, string(digits))
		}
	}
	return digits
}

// normalise brings a number into E.164 form by the plan.
func (t *Table) normalise(digits []byte, plus bool, _ string, say tell) []byte {
	if len(t.plans) == 0 || plus {
		return digits
	}
	p := &t.plans[0]
	has := func(prefix string) bool {
		return prefix != "" && len(digits) > len(prefix) && string(digits[:len(prefix)]) == prefix
	}
	// Of two prefixes one may begin the other (0 and 00): the longer one is meant.
	international, national := has(p.International), has(p.National)
	if international && national && len(p.National) > len(p.International) {
		international = false
	}
	switch rest := len(digits) - len(p.National); {
	case international:
		digits = append(digits[:0], digits[len(p.International):]...)
		if say != nil {
			say("international, without %s: %s", p.International, string(digits))
		}
	case national && rest >= p.MinDigits && rest <= p.MaxDigits:
		digits = front(digits[:0], p.Country, digits[len(p.National):])
		if say != nil {
			say("national, without %s: %s", p.National, string(digits))
		}
	case p.National == "" && len(digits) >= p.MinDigits && len(digits) <= p.MaxDigits:
		digits = front(digits[:0], p.Country, digits)
		if say != nil {
			say("national: %s", string(digits))
		}
	default:
		if say != nil {
			say("a short form, as it is")
		}
	}
	return digits
}

// front writes a and rest into b, which may share rest's memory.
func front(b []byte, a string, rest []byte) []byte {
	var out [2 * maxDigits]byte
	n := copy(out[:], a)
	n += copy(out[n:], rest)
	return append(b, out[:min(n, cap(b))]...)
}

// send lists the pools of a route that are open at the time: step by step, in each one by weight
// and the others behind it.
func (t *Table) send(d Decision, digits []byte, n int32, q *Query, say tell) Decision {
	d.Number.n = uint8(copy(d.Number.b[:], digits))
	r := &t.routes[n]
	d.Route = r.name
	for s := range r.steps {
		var live [maxTargets]*target
		k, sum := 0, 0
		for i := range r.steps[s] {
			g := &r.steps[s][i]
			if g.when >= 0 && !t.whens[g.when].holds(q.At) {
				if say != nil {
					say("route %s: pool %d is closed by %s", r.name, g.pool, t.whens[g.when].name)
				}
				continue
			}
			live[k] = g
			k++
			sum += g.weight
		}
		if k == 0 {
			continue
		}
		first := 0
		if sum > 0 {
			for x := int(draw(q.Seed, r.seed, s) % uint64(sum)); first < k-1; first++ {
				if x -= live[first].weight; x < 0 {
					break
				}
			}
		}
		d.add(live[first].pool)
		for i := range k {
			if i != first {
				d.add(live[i].pool)
			}
		}
		if say != nil {
			say("route %s, step %d: pool %d of %d open, drawn by weight", r.name, s+1, live[first].pool, k)
		}
	}
	if d.n == 0 {
		if say != nil {
			say("route %s has no target at this time: cause %d", r.name, CauseNoRoute)
		}
		return refuse(d, CauseNoRoute)
	}
	if say != nil {
		say("pools %s", strings.Trim(fmt.Sprint(d.Pools()), "[]"))
	}
	return d
}

// add lists a pool once.
func (d *Decision) add(pool int) {
	for i := range int(d.n) {
		if int(d.pools[i]) == pool {
			return
		}
	}
	if int(d.n) < MaxPools {
		d.pools[d.n] = int16(pool)
		d.n++
	}
}

// draw is a call's number for one step of one route.
func draw(seed, route uint64, step int) uint64 {
	var b [24]byte
	binary.LittleEndian.PutUint64(b[:], seed)
	binary.LittleEndian.PutUint64(b[8:], route)
	binary.LittleEndian.PutUint64(b[16:], uint64(step))
	return xxhash.Sum64(b[:])
}

// Seed is that of a call by its id.
func Seed(call string) uint64 { return xxhash.Sum64String(call) }
