// Package incident reconstructs the course of an incident from the records of many instances.
//
// It does no I/O: it takes records and returns a Report. A Part takes the records of one store in order, in one pass
// and in bounded memory. Parts do not depend on each other, so they may be filled concurrently. Combine, or a Fleet,
// merges them: totals, windows, clocks, and the findings of the rules, each with references to its records.
//
// Nothing is interpolated over a gap in the records. Totals that a gap may affect are marked as lower bounds, windows
// that it covers are marked and have no rate, and the order of two events of different instances is reported only where
// the error intervals of their clocks do not overlap.
package incident
