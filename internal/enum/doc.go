// Package enum looks ported numbers up over DNS: ENUM of RFC 6116 with the tel URI parameters of RFC 4694 and the
// Enumservice "pstn" of RFC 4769. It owns the format of queries and answers, and the sockets. Package portability
// decides which query goes to which server and how long an answer is waited for.
package enum
