package console

import (
	"context"
	"errors"
	"io"
	"math"

	"olivedale/internal/record"
)

// noTimeLimit makes advance read all available records.
const noTimeLimit = record.Time(math.MaxInt64)

// recordsPerContextCheck is the number of records that are read between two checks of the context.
const recordsPerContextCheck = 4096

// A recordReader feeds the records of stores to a tracker in the order of their times. It reads one record ahead.
type recordReader struct {
	merger     *record.Merger
	tracker    *tracker
	next       record.Record
	nextHeader record.Header
	hasNext    bool
}

func newRecordReader(stores []record.Store) (*recordReader, error) {
	merger, err := record.OpenStores(stores)
	if err != nil {
		return nil, err
	}
	return &recordReader{merger: merger, tracker: newTracker()}, nil
}

func (r *recordReader) close() error { return r.merger.Close() }

// peek reads the next record ahead unless that is done already. At the end of the stores hasNext stays false and the
// error is nil.
func (r *recordReader) peek() error {
	if r.hasNext {
		return nil
	}
	err := r.merger.Next(&r.next, &r.nextHeader)
	if errors.Is(err, io.EOF) {
		return nil
	}
	r.hasNext = err == nil
	return err
}

// advance applies the records up to and including a time.
func (r *recordReader) advance(ctx context.Context, until record.Time) error {
	for count := 0; ; count++ {
		if count%recordsPerContextCheck == 0 && ctx.Err() != nil {
			return ctx.Err()
		}
		if err := r.peek(); err != nil {
			return err
		}
		if !r.hasNext || r.next.At > until {
			return nil
		}
		r.tracker.apply(&r.nextHeader, &r.next)
		r.hasNext = false
	}
}
