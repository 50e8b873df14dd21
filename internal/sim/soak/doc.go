// Package soak plays short, dense trials: a few call controllers as real processes on loopback, with emulated
// exchanges, discovery services and callers in the process of the trial, and a story of faults that cross on purpose.
// A story is drawn from a seed or written by a test; the same seed always draws the same story, but real processes do
// not repeat themselves exactly.
//
// Exchanges are observed at their own end and callers at theirs, and internal/sim/invariant judges what both saw. The
// package shares no code with the controller but the codecs, and never judges by what the controller logs.
//
// A machine that cannot be reached is emulated as the platform describes it: its open connections stay open and
// silent, and new ones never come up (see listener).
package soak
