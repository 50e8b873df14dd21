// Package portability implements the look-up of numbers that may have been ported. It selects the server for each
// query, and handles time-outs, retries, caching, and the result of a call if no server answers.
//
// A Resolver is a state machine without I/O. Its methods take requests, answers and the current time, and return the
// Actions that the caller has to carry out. Sockets and DNS messages belong to package enum.
package portability
