package record

import (
	"errors"
	"io"
)

// A Merger reads several stores as one, in the order of the instances' own clocks. Whether two instances' clocks
// agree on an order is for internal/incident to judge. A Merger belongs to one goroutine.
type Merger struct {
	inputs []*mergeInput
}

// A mergeInput is one store that a Merger reads.
type mergeInput struct {
	union *Union
	next  lookahead
}

// OpenStores opens stores to be read as one.
func OpenStores(stores []Store) (*Merger, error) {
	m := &Merger{}
	for _, s := range stores {
		u, err := OpenStore(s)
		if err != nil {
			return nil, errors.Join(err, m.Close())
		}
		m.inputs = append(m.inputs, &mergeInput{union: u})
	}
	return m, nil
}

// Close closes all stores.
func (m *Merger) Close() error {
	var err error
	for _, input := range m.inputs {
		err = errors.Join(err, input.union.Close())
	}
	return err
}

// Next reads the next record and the header of its segment. It returns io.EOF at the end of all stores; if one is
// still being written, Next may be called again later.
func (m *Merger) Next(rec *Record, h *Header) error {
	var earliest *mergeInput
	for _, input := range m.inputs {
		err := input.readAhead()
		if errors.Is(err, io.EOF) {
			continue
		}
		if err != nil {
			return err
		}
		if earliest == nil || input.next.record.At < earliest.next.record.At {
			earliest = input
		}
	}
	if earliest == nil {
		return io.EOF
	}
	*rec = earliest.next.record
	*h = earliest.next.header
	earliest.next.isValid = false
	return nil
}

// readAhead reads the input's next record unless that was done before.
func (i *mergeInput) readAhead() error {
	if i.next.isValid {
		return nil
	}
	if err := i.union.Next(&i.next.record); err != nil {
		return err
	}
	i.next.header = i.union.header
	i.next.isValid = true
	return nil
}
