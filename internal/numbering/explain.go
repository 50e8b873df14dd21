package numbering

import (
	"fmt"
	"strings"
)

// explanation collects a description of each step of an analysis, which olivectl numbers show prints. The methods of a
// nil explanation do nothing and allocate nothing; Analyse uses nil.
type explanation struct{ steps []string }

func (e *explanation) add(format string, args ...any) {
	e.steps = append(e.steps, fmt.Sprintf(format, args...))
}

func (e *explanation) notANumber(number string) {
	if e != nil {
		e.add("%q is not a number of 1 to %d digits: cause %d", number, maxDigits, CauseUnallocated)
	}
}

func (e *explanation) dialled(number string, digits *Digits, isInternational bool) {
	if e != nil {
		e.add("dialled %q: digits %s, international %v", number, digits.String(), isInternational)
	}
}

func (e *explanation) emergency() {
	if e != nil {
		e.add("emergency number: bars, translations and look-ups do not apply")
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
		e.add("short form: unchanged")
	}
}

func (e *explanation) wrongLength(number *Digits, maxLength int) {
	if e != nil {
		e.add("%d digits, the table allows 1 to %d: cause %d", number.n, maxLength, CauseUnallocated)
	}
}

func (e *explanation) bar(bar *entry, prefix []byte, class string, isBarred bool) {
	switch {
	case e == nil:
	case isBarred:
		e.add("barred %d bars %s: cause %d", bar.ordinal, string(prefix), bar.cause)
	default:
		e.add("barred %d bars %s, but not for class %q", bar.ordinal, string(prefix), class)
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
		e.add("no prefix matches %s: default route", string(number))
	default:
		e.add("no prefix matches %s and there is no default route: cause %d", string(number), CauseUnallocated)
	}
}

func (e *explanation) lookUpRequired() {
	if e != nil {
		e.add("the prefix is marked as ported: a portability look-up is required")
	}
}

func (e *explanation) notPorted(state PortingState) {
	switch {
	case e == nil:
	case state == NotPorted:
		e.add("not ported: routed by its own digits")
	default:
		e.add("no answer to the portability look-up in time: routed by its own digits")
	}
}

func (e *explanation) portedTo(routing []byte, match *entry, prefix []byte) {
	if e != nil {
		e.add("ported to routing number %s: the longest match is %s (entry %d)",
			string(routing), string(prefix), match.ordinal)
	}
}

func (e *explanation) routingNumberUnmatched(routing []byte) {
	if e != nil {
		e.add("ported to routing number %s, which no prefix matches: cause %d", string(routing), CauseNoRoute)
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
		e.add("route %s has no open target at this time: cause %d", route, CauseNoRoute)
	}
}

func (e *explanation) pools(d *Decision) {
	if e != nil {
		e.add("pools %s", strings.Trim(fmt.Sprint(d.Pools()), "[]"))
	}
}
