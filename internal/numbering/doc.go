// Package numbering says to which pools a call may go, and in which order of preference, by
// the number called: plans and translations, barred and emergency numbers, prefixes and ranges,
// portability, routes by time of day. The decision module still picks the server.
//
// It is pure: no sockets, no files, no goroutines, and no clock but the Time handed in. Rules as an
// operator writes them become a Table by Compile, once and for good: a Table never changes and may
// be read by anybody. What is wrong with rules is found then, never in service.
package numbering
