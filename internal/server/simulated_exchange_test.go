package server

import (
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// offeredDescription and acceptedDescription are the descriptions of a call; they must pass unchanged.
func offeredDescription(number string) string  { return "v=0\r\ns={" + number + "} \"\\\r\n" }
func acceptedDescription(number string) string { return "v=0\r\na=\\}" + number + "\r\n" }

// A behavior is what a simulated exchange does with a set-up.
type behavior string

const (
	behaveOK               behavior = "ok"     // the call is established, and released by the exchange
	behaveKeep             behavior = "keep"   // the call is established
	behaveBusy             behavior = "busy"   // rejected at each attempt: the number is busy
	behaveOverloaded       behavior = "full"   // rejected at the first attempt: the exchange is overloaded
	behaveNotForwarded     behavior = "moot"   // rejected at the first attempt: the call was not forwarded
	behaveTemporaryFailure behavior = "reset"  // rejected at the first attempt, which may have run
	behaveSilent           behavior = "silent" // not answered
	behavePartialAnswer    behavior = "half"   // the answer stops within the message, and the connection brings nothing more
	behaveUnresponsive     behavior = "mute"   // the connection stays open and brings nothing more
)

// establishes reports whether the nth attempt is established: those that are rejected once are at the second.
func (b behavior) establishes(nth int) bool {
	switch b {
	case behaveOK, behaveKeep:
		return true
	case behaveSilent, behaveBusy:
		return false
	}
	return nth > 1
}

// releaseDelay is when an exchange releases a call that it establishes by behaveOK.
const releaseDelay = 20 * time.Millisecond

// simulatedExchange is an exchange of either protocol. The number called says what it does.
type simulatedExchange struct {
	observations *callObservations
	listener     net.Listener
	mu           sync.Mutex
	conns        map[net.Conn]bool

	invited        int  // set-ups that came, guarded by mu
	behavesByDigit bool // the last digit of a number says what becomes of a call, see behaviorByDigit
	answersNothing bool // no set-up is answered, whichever attempt it is; set before the server starts
}

func startSimulatedExchange(t testing.TB, r *callObservations, h248 bool) *simulatedExchange {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &simulatedExchange{observations: r, listener: ln, conns: make(map[net.Conn]bool)}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[c] = true
			s.mu.Unlock()
			if h248 {
				go s.serveH248(c)
			} else {
				go s.serveSIP(c)
			}
		}
	}()
	t.Cleanup(s.stop)
	return s
}

func (s *simulatedExchange) addr() string { return s.listener.Addr().String() }

// stop ends the process: nobody listens, and its connections are reset.
func (s *simulatedExchange) stop() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

// countInvite counts a set-up.
func (s *simulatedExchange) countInvite() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.invited++
}

// behaviorByDigit returns what becomes of the nth attempt of a call by the last digit of its number: 5 is busy at
// every exchange, 6, 7 and 8 are rejected once or twice, 9 is not answered at first.
func behaviorByDigit(number string, nth int) behavior {
	switch number[len(number)-1] {
	case '5':
		return behaveBusy
	case '6', '7':
		return []behavior{behaveOverloaded, behaveOK}[min(nth, 2)-1]
	case '8':
		return []behavior{behaveNotForwarded, behaveOverloaded, behaveOK}[min(nth, 3)-1]
	case '9':
		return []behavior{behaveSilent, behaveOK}[min(nth, 2)-1]
	}
	return behaveOK
}

// behaviorByName returns the behavior that a number names, such as 'busy.1'.
func behaviorByName(number string) behavior {
	name, _, _ := strings.Cut(number, ".")
	return behavior(name)
}
