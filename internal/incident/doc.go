// Package incident reconstructs the course of an incident from the records of many instances.
//
// It is pure: records go in, a Report comes out; nothing is read or drawn here. A Part takes the records of one store
// in order, in one pass and in bounded memory. Parts do not depend on each other, so they may be filled concurrently.
// Combine, or a Fleet, merges them: totals, windows, clocks, and findings by rule, each with the records it rests on.
//
// Nothing is guessed over a gap. Totals that a gap may have touched are marked as lower bounds, windows that it covers
// are marked and have no rate, and the order of two events of different instances is only told where the intervals of
// their clocks allow it.
package incident
