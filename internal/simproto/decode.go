package simproto

import (
	"encoding/json"
	"fmt"

	"olivedale/internal/admission"
)

// A Decoder decodes lines and keeps the server lists that later lines refer to. Its zero value is ready to use.
type Decoder struct {
	lines       int                        // read so far
	serverLists map[int][]admission.Server // of PAGE rows, by number
}

// batchLine is the JSON form of a line from the simulator.
type batchLine struct {
	AtTime *float64   `json:"atTime"` // milliseconds
	Nodes  []nodeLine `json:"nodes"`
}

type nodeLine struct {
	Node  *int              `json:"node"`
	Items []json.RawMessage `json:"items"`
}

// Decode decodes one line. An error names the line and, where they apply, the row and the field.
func (d *Decoder) Decode(line []byte) (Batch, error) {
	d.lines++
	batch, err := d.decode(line)
	if err != nil {
		return Batch{}, fmt.Errorf("line %d: %w", d.lines, err)
	}
	return batch, nil
}

func (d *Decoder) decode(line []byte) (Batch, error) {
	var in batchLine
	if err := json.Unmarshal(line, &in); err != nil {
		return Batch{}, fmt.Errorf("batch: %w", err)
	}
	if in.AtTime == nil {
		return Batch{}, &FieldError{"batch", "atTime", errMissing}
	}
	now, err := fromMilliseconds(*in.AtTime)
	if err != nil {
		return Batch{}, &FieldError{"batch", "atTime", err}
	}
	batch := Batch{Now: now}
	for _, n := range in.Nodes {
		node, err := d.node(n)
		if err != nil {
			return Batch{}, err
		}
		batch.Nodes = append(batch.Nodes, node)
	}
	return batch, nil
}

func (d *Decoder) node(in nodeLine) (Node, error) {
	if in.Node == nil {
		return Node{}, &FieldError{"batch", "node", errMissing}
	}
	node := Node{Number: *in.Node}
	for _, text := range in.Items {
		item, err := d.item(text)
		if err != nil {
			return Node{}, err
		}
		if item != nil {
			node.Items = append(node.Items, *item)
		}
	}
	return node, nil
}

// item reads one row. It returns nil for a row that results in no item for the node.
func (d *Decoder) item(text json.RawMessage) (*Item, error) {
	r, err := parseRow(text)
	if err != nil {
		return nil, err
	}
	format, isKnown := rowFormats[r.name]
	if !isKnown {
		return nil, fmt.Errorf("unknown event %q", r.name)
	}
	values := len(r.cells) - 1
	if values != format.values {
		return nil, fmt.Errorf("%s: want %d values, got %d", r.name, format.values, values)
	}
	item := format.read(d, r)
	if r.err != nil {
		return nil, r.err
	}
	return item, nil
}
