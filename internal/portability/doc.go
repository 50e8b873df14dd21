// Package portability decides how numbers that may have been ported are looked up: which query goes to which server,
// how long an answer is waited for, which answers are cached, and what a call gets if no server answers.
//
// A Resolver is a state machine without I/O: requests, answers and the Time go in, a list of Actions comes out. Sockets
// and DNS messages belong to package enum.
package portability
