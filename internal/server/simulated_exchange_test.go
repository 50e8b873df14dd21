package server

import (
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// offeredDescription and acceptedDescription return the session descriptions of a call, which must be forwarded
// unchanged.
func offeredDescription(number string) string  { return "v=0\r\ns={" + number + "} \"\\\r\n" }
func acceptedDescription(number string) string { return "v=0\r\na=\\}" + number + "\r\n" }

// A behavior says how a simulated exchange handles a set-up.
type behavior string

const (
	behaveOK               behavior = "ok"     // established, then released by the exchange
	behaveKeep             behavior = "keep"   // established
	behaveBusy             behavior = "busy"   // every attempt is rejected: the number is busy
	behaveOverloaded       behavior = "full"   // the first attempt is rejected: the exchange is overloaded
	behaveNotForwarded     behavior = "moot"   // the first attempt is rejected: the call was not forwarded
	behaveTemporaryFailure behavior = "reset"  // the first attempt is rejected and may have run
	behaveSilent           behavior = "silent" // not answered
	behavePartialAnswer    behavior = "half"   // only part of the answer is sent, and nothing more on the connection
	behaveUnresponsive     behavior = "mute"   // nothing more is sent on the connection, which stays open
)

// establishes reports whether the nth attempt is established. Behaviors that reject the first attempt establish later
// ones.
func (b behavior) establishes(nth int) bool {
	switch b {
	case behaveOK, behaveKeep:
		return true
	case behaveSilent, behaveBusy:
		return false
	}
	return nth > 1
}

// releaseDelay is the time after which an exchange releases a call that it has established by behaveOK.
const releaseDelay = 20 * time.Millisecond

// simulatedExchange is an exchange that speaks SIP or H.248. The called number selects its behavior.
type simulatedExchange struct {
	observations *callObservations
	listener     net.Listener
	mu           sync.Mutex
	conns        map[net.Conn]bool

	replies h248Replies // replies to executed transactions, guarded by mu

	invited        int  // number of received set-ups, guarded by mu
	behavesByDigit bool // the last digit of a number selects the behavior, see behaviorByDigit
	answersNothing bool // no attempt is answered; must be set before the server starts
}

func startSimulatedExchange(t testing.TB, r *callObservations, h248 bool) *simulatedExchange {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &simulatedExchange{observations: r, listener: ln, conns: make(map[net.Conn]bool), replies: make(h248Replies)}
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

// stop simulates the end of the process: the listener is closed and the connections are reset.
func (s *simulatedExchange) stop() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

// countInvite counts a received set-up.
func (s *simulatedExchange) countInvite() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.invited++
}

// behaviorByDigit returns the behavior for the nth attempt of a call by the last digit of its number: 5 is busy at every
// exchange, 6 and 7 are rejected once, 8 is rejected twice, and 9 is not answered at the first attempt.
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

// behaviorByName returns the behavior named by the first part of a number such as 'busy.1'.
func behaviorByName(number string) behavior {
	name, _, _ := strings.Cut(number, ".")
	return behavior(name)
}
