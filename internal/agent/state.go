package agent

import "fmt"

// A State is the state of an instance. The transitions are:
//
//	Starting -> Running                its process has started
//	Starting, Running -> Restarting    its process could not be started or has ended
//	Restarting -> Running              its process has started again
//	Running -> Draining                a drain was requested; its process is signaled
//	any but Invalid -> Drained         a drain was requested; it has no process
//
// Drained and Invalid are final.
type State int

// States of an instance.
const (
	Starting State = iota
	Running
	Restarting // no process is running; it will be started again after a delay
	Draining
	Drained
	Invalid // its specification is invalid; it has no process
)

// stateNames are the names that the admin protocol sends.
var stateNames = [...]string{
	Starting:   "starting",
	Running:    "running",
	Restarting: "waiting",
	Draining:   "draining",
	Drained:    "drained",
	Invalid:    "faulty",
}

// String returns the name of the state in the admin protocol.
func (s State) String() string {
	if s < 0 || int(s) >= len(stateNames) {
		return fmt.Sprintf("State(%d)", int(s))
	}
	return stateNames[s]
}
