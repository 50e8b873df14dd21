// Package report reads record stores, has internal/incident analyse them, and writes the result as one HTML file or as
// JSON. It only draws and formats; all counting is done by internal/incident.
package report

import (
	"context"
	"errors"
	"fmt"
	"io"
	"runtime"
	"sync"

	"golang.org/x/sync/errgroup"

	"olivedale/internal/incident"
	"olivedale/internal/record"
)

// Options select the records that are read. The zero value selects all.
type Options struct {
	From, To record.Time // calls within these times, by the clocks of their instances; 0: no bound
	Workers  int         // number of stores that are read concurrently; 0: one per processor

	// Progress, if not nil, is called at intervals with the numbers of stores that are finished and of records that are
	// read so far. Calls do not overlap.
	Progress func(stores int, records uint64)
}

// A Result is the analysis of a set of stores.
type Result struct {
	*incident.Report
	Damages        []Damage
	OmittedDamages int    // number of damages left out of Damages
	Copies         int    // number of directories that are copies of another
	Conflicts      uint64 // sequence numbers with different records in copies of one store
}

// A Damage is one damaged place in a store.
type Damage struct {
	Dir string `json:"dir"`
	record.Damage
}

// maxDamages bounds the list of damages.
const maxDamages = 200

// Read reads stores concurrently, each in one pass. Its memory does not grow with the number of records.
func Read(ctx context.Context, stores []record.Store, o Options) (*Result, error) {
	if o.Workers <= 0 {
		o.Workers = runtime.GOMAXPROCS(0)
	}
	c := &collector{progress: o.Progress}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(o.Workers)
	for _, store := range stores {
		c.result.Copies += len(store.Dirs) - 1
		group.Go(func() error {
			part, union, err := readStore(ctx, store, o, c.addRecords)
			if err != nil {
				return fmt.Errorf("reading %v: %w", store.Dirs, err)
			}
			c.addStore(part, union)
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	c.result.Report = c.fleet.Report()
	return &c.result, nil
}

// A collector merges the results of concurrent readers. Its methods may be called from any goroutine.
type collector struct {
	progress func(stores int, records uint64) // may be nil

	mu      sync.Mutex // guards the fields below
	fleet   incident.Fleet
	result  Result
	stores  int
	records uint64
}

// addRecords counts records that were read and reports the progress.
func (c *collector) addRecords(n uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.records += n
	if c.progress != nil {
		c.progress(c.stores, c.records)
	}
}

// addStore adds the analysis of a store that was read to its end.
func (c *collector) addStore(part *incident.Part, union *record.Union) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stores++
	c.fleet.Add(part)
	c.result.Conflicts += union.Conflicts()
	for _, reader := range union.Readers() {
		damages, more := reader.Damages()
		c.result.OmittedDamages += more
		for _, d := range damages {
			if len(c.result.Damages) >= maxDamages {
				c.result.OmittedDamages++
				continue
			}
			c.result.Damages = append(c.result.Damages, Damage{reader.Dir(), d})
		}
	}
}

// progressInterval is the number of records between two reports of progress.
const progressInterval = 1 << 17

// readStore reads one store and returns its analysis. The returned union is closed; only its statistics may be used.
func readStore(
	ctx context.Context, store record.Store, o Options, progress func(uint64),
) (*incident.Part, *record.Union, error) {
	union, err := record.OpenStore(store)
	if err != nil {
		return nil, nil, err
	}
	part := incident.NewPart()
	part.Instance, part.From, part.To = store.Name, o.From, o.To
	if err := readRecords(ctx, union, part, progress); err != nil {
		return nil, nil, errors.Join(err, union.Close())
	}
	part.Close()
	return part, union, union.Close()
}

// readRecords passes all records of a store to its analysis.
func readRecords(ctx context.Context, union *record.Union, part *incident.Part, progress func(uint64)) error {
	var r record.Record
	n := uint64(0)
	for {
		err := union.Next(&r)
		if errors.Is(err, io.EOF) {
			progress(n % progressInterval)
			return nil
		}
		if err != nil {
			return err
		}
		part.AddRecord(union.Header(), &r)
		n++
		if n%progressInterval == 0 {
			progress(progressInterval)
			if ctx.Err() != nil {
				return ctx.Err()
			}
		}
	}
}
