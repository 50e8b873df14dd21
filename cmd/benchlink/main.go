// Command benchlink runs the decision module for the nodes of an external simulator: it reads batches of events from
// standard input, one per line, and writes the decisions on each batch to standard output. The nodes share no state.
package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"

	"olivedale/internal/admission"
	"olivedale/internal/simproto"
)

// readBufferBytes is the size of the buffer for input; longer lines are assembled from several reads.
const readBufferBytes = 1 << 20

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "benchlink:", err)
		os.Exit(1)
	}
}

// run writes a reply for each line of in until the end of input. Empty lines are skipped.
func run(in io.Reader, out io.Writer) error {
	reader := bufio.NewReaderSize(in, readBufferBytes)
	h := newHost()
	for {
		line, readErr := reader.ReadBytes('\n')
		if text := bytes.TrimSpace(line); len(text) > 0 {
			if err := h.writeReply(text, out); err != nil {
				return err
			}
		}
		if errors.Is(readErr, io.EOF) {
			return nil
		}
		if readErr != nil {
			return fmt.Errorf("read batch: %w", readErr)
		}
	}
}

// A host holds the state machine of each node that has started.
type host struct {
	decoder simproto.Decoder
	nodes   map[int]*admission.StateMachine
}

func newHost() *host { return &host{nodes: make(map[int]*admission.StateMachine)} }

// writeReply processes one batch and writes the reply.
func (h *host) writeReply(line []byte, out io.Writer) error {
	reply, err := h.handleBatch(line)
	if err != nil {
		return err
	}
	if _, err := out.Write(reply); err != nil {
		return fmt.Errorf("write reply: %w", err)
	}
	return nil
}

func (h *host) handleBatch(line []byte) ([]byte, error) {
	batch, err := h.decoder.Decode(line)
	if err != nil {
		return nil, err
	}
	var replies []simproto.Reply
	for _, node := range batch.Nodes {
		actions, err := h.handle(batch.Now, node)
		if err != nil {
			return nil, fmt.Errorf("node %d: %w", node.Number, err)
		}
		replies = append(replies, simproto.Reply{Number: node.Number, Actions: actions})
	}
	return simproto.Encode(replies)
}

// handle passes the items to the node's state machine and returns its actions. A Kill or a Start discards the
// actions of earlier items in the batch. Events for a node that has not started are ignored.
func (h *host) handle(now admission.Time, node simproto.Node) ([]admission.Action, error) {
	var actions []admission.Action
	for _, item := range node.Items {
		switch {
		case item.Kill:
			delete(h.nodes, node.Number)
			actions = nil
		case item.Start != nil:
			machine, err := admission.NewStateMachine(item.Start.Settings, item.Start.Seed)
			if err != nil {
				return nil, fmt.Errorf("START: %w", err)
			}
			h.nodes[node.Number] = machine
			actions = append(actions[:0], machine.Begin(now)...)
		default:
			if machine := h.nodes[node.Number]; machine != nil {
				actions = append(actions, machine.Handle(now, item.Event)...)
			}
		}
	}
	return actions, nil
}
