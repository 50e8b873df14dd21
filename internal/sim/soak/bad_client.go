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
	// badClientLimit is the time within which a bad client must get an answer or a close.
	badClientLimit = 3 * time.Second
	// badClientInterval is the mean interval at which bad clients connect to a controller.
	badClientInterval = 150 * time.Millisecond
)

// badInputs are the malformed or invalid messages that bad clients send.
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

// runBadClients opens bad clients at random intervals until the channel is closed.
func (k *callers) runBadClients(done <-chan struct{}, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 77+uint64(k.controller.number)))
	for {
		wait := time.Duration(rng.ExpFloat64() * float64(badClientInterval))
		select {
		case <-done:
			return
		case <-time.After(wait):
			go k.runBadClient(badInputs[rng.IntN(len(badInputs))], rng.IntN(2) == 0)
		}
	}
}

// runBadClient sends a bad input and waits for an answer or a close.
func (k *callers) runBadClient(input string, closesAtOnce bool) {
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
	isSameProcess := generation == k.generation
	k.mu.Unlock()
	if isSameProcess {
		k.run.monitor.reportViolation(RuleBadClient, k.controller.name, "",
			"neither an answer nor a close within %v of %s", badClientLimit, fmt.Sprintf("%.40q", input))
	}
}
