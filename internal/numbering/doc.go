// Package numbering selects the pools that may take a call, in order of preference, from the called number. It applies
// dialling plans and translations, barred and emergency numbers, prefixes and ranges, number portability, and routes
// that depend on the time of day. The admission module chooses the server within a pool.
//
// The rules that an operator writes are compiled into a Table, which is immutable and may be read by any goroutine.
// Compile reports all errors in the rules, so none is left to be found while calls are routed. A Registry keeps the
// versions of the table, and a VersionManager executes the operator's commands on them: load, activate, roll back,
// cancel.
//
// The package opens no sockets, starts no goroutines and writes no files. It takes the time from its callers and reads
// no clock. CompileFile is the only function that reads a file.
package numbering
