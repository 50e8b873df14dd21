// Package simproto reads and writes the line protocol between the simulator and a process that hosts several nodes.
// A line is a JSON object. The events and decisions in it are rows: JSON arrays that begin with a name. The package
// only validates and converts rows; it makes no decisions and holds no state of nodes.
package simproto

import "olivedale/internal/admission"

// A Batch is the content of one line from the simulator.
type Batch struct {
	Now   admission.Time
	Nodes []Node
}

// A Node holds the items for one node, in the order of arrival.
type Node struct {
	Number int
	Items  []Item
}

// An Item is one of Start, Kill and Event.
type Item struct {
	Start *Start
	Kill  bool // the node ends and loses its state
	Event admission.Event
}

// Start starts a node without state.
type Start struct {
	Seed     uint64
	Settings admission.Settings
}

// A Reply holds the decisions of one node.
type Reply struct {
	Number  int
	Actions []admission.Action
}
