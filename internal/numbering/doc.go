// Package numbering decides by the called number which pools a call may go to, and in which order of preference: by
// dialling plans and translations, barred and emergency numbers, prefixes and ranges, number portability, and routes
// by time of day. The admission module chooses the server.
//
// Rules as an operator writes them are compiled into a Table, which never changes and may be read by any goroutine.
// Errors in rules are found by Compile and never in service. A Registry keeps the versions of a table, and a Desk
// carries out the operator's orders on them: load, activate, roll back, cancel.
//
// The package opens no sockets, starts no goroutines, writes no files and reads no clock but the Time passed in; Read
// is the only function that reads a file.
package numbering
