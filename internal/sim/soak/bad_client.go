package soak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"time"
)

const (
	// badClientLimit is within which a bad client gets an answer or a close.
	badClientLimit = 3 * time.Second
	// badClientInterval is the mean time between two bad clients of a controller.
	badClientInterval = 150 * time.Millisecond
)

// badInputs are what bad clients send.
var badInputs = []string{
	"\x00\x01\x02\xff\xfe",
	"{\"verb\":\"START\",\"tag\":\"zz\"}\n",
	"{\"verb\":\"START\",\"tag\":\"00000000000000aa\",\"opts\":{\"class\":\"none\",\"left\":\"1e99\"}}\n",
	"{\"verb\":\"START\",\"tag\":\"00000000000000ab\",\"opts\":{\"class\":\"voice\",\"left\":\"-5\",\"key\":\"1\"}}\n",
	"{\"verb\":\"START\",\"tag\":\"00000000000000ac\",\"opts\":{\"class\":\"voice\",\"left\":\"500\",\"key\":\"1\"," +
		"\"extras\":\"width:999\"}}\n",
	"{\"verb\":\"FINISH\",\"tag\":\"ffffffffffffffff\",\"opts\":{},\"rc\":16}\n{\"verb\":\"WHAT\"}\n",
	"{\"verb\":\"START\",\"tag\":",
	"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
	"",
	strings.Repeat("{\"a\":[", 4000),
	strings.Repeat("x", 40_000),
}

// sendBadInput plays bad clients until the channel is closed.
func (k *callers) sendBadInput(done <-chan struct{}, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 77+uint64(k.controller.number)))
	for {
		wait := time.Duration(rng.ExpFloat64() * float64(badClientInterval))
		select {
		case <-done:
			return
		case <-time.After(wait):
			go k.playBadClient(badInputs[rng.IntN(len(badInputs))], rng.IntN(2) == 0)
		}
	}
}

// playBadClient sends something bad and awaits an answer or a close.
func (k *callers) playBadClient(input string, closesAtOnce bool) {
	k.mu.Lock()
	mayCall, generation := k.mayCall(true), k.generation
	k.mu.Unlock()
	if !mayCall {
		return
	}
	conn, err := net.DialTimeout("tcp", k.controller.listen, callerDialTimeout)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(badClientLimit + clockSlack))
	if _, err := conn.Write([]byte(input)); err != nil || closesAtOnce {
		return
	}
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		return // answered or closed
	}
	k.mu.Lock()
	isSame := generation == k.generation
	k.mu.Unlock()
	if isSame {
		k.run.judge.violate(RuleBadClient, k.controller.name, "", "no answer and no close within %v of %s",
			badClientLimit, fmt.Sprintf("%.40q", input))
	}
}
