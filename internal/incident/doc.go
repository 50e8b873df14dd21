// Package incident makes the course of an incident out of the records of many instances.
//
// It is pure: records go in, a Report comes out, nothing is read or drawn here. One Part
// takes the records of one store in their order, in one pass and bounded memory; parts do not
// know each other, so they may be filled side by side. Combine puts them together: totals,
// windows, clocks, and findings by rule, each with the records that it rests on.
//
// Nothing is guessed over a gap. Totals that a gap may have touched say so, windows that it
// covers are marked and no rate is given for them, and the order of two events of different
// instances is only told where the intervals of their clocks allow it.
package incident
