package console

import (
	"context"
	"time"

	"olivedale/internal/record"
)

// A Follower is a Source that reads live stores as they are written.
type Follower struct {
	reader *recordReader
	rates  rateCalculator
	pacer  pacer
}

// NewFollower opens live stores. It returns an error if one of them cannot be opened.
func NewFollower(stores []record.Store, interval time.Duration) (*Follower, error) {
	reader, err := newRecordReader(stores)
	if err != nil {
		return nil, err
	}
	return &Follower{reader: reader, pacer: pacer{interval: interval}}, nil
}

// Close implements Source.
func (f *Follower) Close() error { return f.reader.close() }

// Next implements Source.
func (f *Follower) Next(ctx context.Context) (*Snapshot, error) {
	if err := f.pacer.wait(ctx); err != nil {
		return nil, err
	}
	f.pacer.hasFirst = true
	if err := f.reader.advance(ctx, noTimeLimit); err != nil {
		return nil, err
	}
	s := f.reader.tracker.snapshot()
	s.Source = "records"
	s.At = time.Now().UTC()
	f.rates.apply(s)
	return s, nil
}
