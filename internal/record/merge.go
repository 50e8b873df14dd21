package record

import (
	"errors"
	"io"
)

// A Merger merges the records of several stores, ordered by the clocks of their instances. It does not correct
// differences between these clocks; internal/incident evaluates them. A Merger may be used by only one goroutine.
type Merger struct {
	inputs []*mergeInput
}

// A mergeInput is a store that a Merger reads.
type mergeInput struct {
	union *Union
	next  lookahead
}

// OpenStores opens the stores for merging.
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

// Next reads the next record and the header of its segment. It returns io.EOF at the end of all stores; if a store
// is still being written, Next may be called again later.
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

// readAhead reads the input's next record unless it has already been read.
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
