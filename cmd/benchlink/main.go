// Command benchlink hosts access nodes for a simulator: it reads batches of
// events on standard input and writes each reply to standard output. The
// nodes share nothing.
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

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "benchlink:", err)
		os.Exit(1)
	}
}

// run answers each line of in until its end.
func run(in io.Reader, out io.Writer) error {
	r := bufio.NewReaderSize(in, 1<<20)
	h := host{nodes: make(map[int]*admission.StateMachine)}
	for {
		line, err := r.ReadBytes('\n')
		if text := bytes.TrimSpace(line); len(text) > 0 {
			reply, err := h.answer(text)
			if err != nil {
				return err
			}
			if _, err := out.Write(reply); err != nil {
				return fmt.Errorf("writing a reply: %w", err)
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("reading: %w", err)
		}
	}
}

// A host keeps one Controller for each node that runs.
type host struct {
	dec   simproto.Decoder
	nodes map[int]*admission.StateMachine
}

func (h *host) answer(line []byte) ([]byte, error) {
	batch, err := h.dec.Decode(line)
	if err != nil {
		return nil, err
	}
	var replies []simproto.Reply
	for _, n := range batch.Nodes {
		actions, err := h.feed(batch.Now, n)
		if err != nil {
			return nil, fmt.Errorf("node %d: %w", n.Number, err)
		}
		replies = append(replies, simproto.Reply{Number: n.Number, Actions: actions})
	}
	return simproto.Encode(replies)
}

// feed hands a node its items. What it had to say before a kill in the same
// batch is void, like all else it knew.
func (h *host) feed(now admission.Time, n simproto.Node) ([]admission.Action, error) {
	var actions []admission.Action
	for _, it := range n.Items {
		switch {
		case it.Kill:
			delete(h.nodes, n.Number)
			actions = nil
		case it.Start != nil:
			c, err := admission.NewStateMachine(it.Start.Settings, it.Start.Seed)
			if err != nil {
				return nil, fmt.Errorf("START: %w", err)
			}
			h.nodes[n.Number] = c
			actions = append(actions[:0], c.Begin(now)...)
		default:
			if c := h.nodes[n.Number]; c != nil {
				actions = append(actions, c.Handle(now, it.Event)...)
			}
		}
	}
	return actions, nil
}
