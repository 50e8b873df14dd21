//go:build review2

// Command stand2 plays the cases of the second review: it starts the project's programs as separate processes with
// stand-ins for callers, exchanges, panels, the name service and etcd, and judges what these see. It exits with 1 if
// the rule of the case was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

// Exit codes.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

// A scenario plays a case. It returns true if the rule held, or an error if the case could not run.
type scenario func(s *stage) (held bool, err error)

// scenarios holds the cases by the name that their scripts pass.
var scenarios = map[string]scenario{}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "use: stand2 CASE ROOT RECORD")
		os.Exit(notRun)
	}
	play := scenarios[os.Args[1]]
	if play == nil {
		fmt.Fprintf(os.Stderr, "no case is named %q\n", os.Args[1])
		os.Exit(notRun)
	}
	os.Exit(run(play, os.Args[2], os.Args[3]))
}

// run plays a case on a stage of its own and returns the exit code.
func run(play scenario, root, recordPath string) (code int) {
	s, err := newStage(root, recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer s.close()
	held, err := play(s)
	switch {
	case err != nil:
		s.say("the case could not run: %v", err)
		s.showLogs()
		return notRun
	case !held:
		s.say("RULE BROKEN")
		return ruleBroken
	}
	s.say("RULE HELD")
	return ruleHeld
}
