// Package enum looks up ported numbers over DNS: ENUM according to RFC 6116, with the tel URI parameters of RFC 4694
// and the Enumservice "pstn" of RFC 4769. It implements the format of queries and answers, and the sockets. Package
// portability selects the servers and handles time-outs.
package enum
