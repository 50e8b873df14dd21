// Command stand plays the cases of the review: it starts the project's programs as the deploy file says, takes the
// place of clients, servers and the platform, and judges one rule by what these can see.
package main

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"time"
)

// maxDuration is the time after which a case that still runs is given up.
const maxDuration = 110 * time.Second

// Exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

// cases holds the cases by number; each registers itself.
var cases = map[string]func(*stage) int{}

// The processes are started from the main thread, whose end kills them.
func init() { runtime.LockOSThread() }

func main() {
	root := flag.String("root", ".", "root of the repository")
	dir := flag.String("dir", "", "empty temporary folder")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "play the disruption")
	flag.Parse()
	play := cases[flag.Arg(0)]
	if play == nil {
		fmt.Fprintln(os.Stderr, "usage: stand [flags] 1|2|3")
		os.Exit(notRun)
	}
	s, err := newStage(*root, *dir, *record, *trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	time.AfterFunc(maxDuration, s.giveUp)
	os.Exit(s.run(play))
}
