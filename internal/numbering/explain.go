package numbering

import (
	"fmt"
	"strings"
)

// explanation collects a description of each step of an analysis. The methods of a nil explanation do nothing and
// allocate nothing: in service there is none. The texts are printed by olivectl numbers show.
type explanation struct{ steps []string }

func (e *explanation) add(format string, args ...any) {
	e.steps = append(e.steps, fmt.Sprintf(format, args...))
}

func (e *explanation) notANumber(number string) {
	if e != nil {
		e.add("%q is no number of at most %d digits: cause %d", number, maxDigits, CauseUnallocated)
	}
}

func (e *explanation) dialled(number string, digits *Digits, isInternational bool) {
	if e != nil {
		e.add("dialled %q: digits %s, international %v", number, digits.String(), isInternational)
	}
}

func (e *explanation) emergency() {
	if e != nil {
		e.add("an emergency number: nothing bars, translates or looks it up")
	}
}

func (e *explanation) translated(match string, number *Digits) {
	if e != nil {
		e.add("translated by %s: %s", match, number.String())
	}
}

func (e *explanation) international(prefix string, number *Digits) {
	if e != nil {
		e.add("international, without %s: %s", prefix, number.String())
	}
}

func (e *explanation) national(prefix string, number *Digits) {
	switch {
	case e == nil:
	case prefix == "":
		e.add("national: %s", number.String())
	default:
		e.add("national, without %s: %s", prefix, number.String())
	}
}

func (e *explanation) shortForm() {
	if e != nil {
		e.add("a short form, as it is")
	}
}

func (e *explanation) wrongLength(number *Digits, maxLength int) {
	if e != nil {
		e.add("%d digits, the table has 1 to %d: cause %d", number.n, maxLength, CauseUnallocated)
	}
}

func (e *explanation) bar(bar *entry, prefix []byte, class string, isBarred bool) {
	switch {
	case e == nil:
	case isBarred:
		e.add("barred %d bars %s: cause %d", bar.ordinal, string(prefix), bar.cause)
	default:
		e.add("barred %d bars %s, not for class %q", bar.ordinal, string(prefix), class)
	}
}

func (e *explanation) longestMatch(match *entry, prefix []byte) {
	if e != nil {
		e.add("the longest match is %s (entry %d)", string(prefix), match.ordinal)
	}
}

func (e *explanation) defaultRoute(number []byte, hasDefault bool) {
	switch {
	case e == nil:
	case hasDefault:
		e.add("nothing matches %s: the default", string(number))
	default:
		e.add("nothing matches %s and there is no default: cause %d", string(number), CauseUnallocated)
	}
}

func (e *explanation) lookUpFirst() {
	if e != nil {
		e.add("its numbers may have moved: a look-up comes first")
	}
}

func (e *explanation) notMoved(state PortingState) {
	switch {
	case e == nil:
	case state == NotPorted:
		e.add("it may have moved; it stays")
	default:
		e.add("it may have moved; nobody could tell in time")
	}
}

func (e *explanation) movedTo(routing []byte, match *entry, prefix []byte) {
	if e != nil {
		e.add("it has moved to %s; the longest match is %s (entry %d)", string(routing), string(prefix), match.ordinal)
	}
}

func (e *explanation) routingNumberUnmatched(routing []byte) {
	if e != nil {
		e.add("it has moved to %s, which nothing matches: cause %d", string(routing), CauseNoRoute)
	}
}

func (e *explanation) targetClosed(route string, pool int, condition string) {
	if e != nil {
		e.add("route %s: pool %d is closed by %s", route, pool, condition)
	}
}

func (e *explanation) poolDrawn(route string, step, pool, open int) {
	if e != nil {
		e.add("route %s, step %d: pool %d of %d open, drawn by weight", route, step+1, pool, open)
	}
}

func (e *explanation) noOpenTarget(route string) {
	if e != nil {
		e.add("route %s has no target at this time: cause %d", route, CauseNoRoute)
	}
}

func (e *explanation) pools(d *Decision) {
	if e != nil {
		e.add("pools %s", strings.Trim(fmt.Sprint(d.Pools()), "[]"))
	}
}
