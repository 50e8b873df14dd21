// Package report reads record stores, has internal/incident analyse them, and writes the result as one HTML file or as
// JSON. It draws and formats what was found; it counts nothing itself.
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

// Options select what is read. The zero value reads everything.
type Options struct {
	From, To record.Time // calls within these times, by the clocks of their instances; 0: no bound
	Workers  int         // stores that are read concurrently; 0: one per processor

	// Progress, if not nil, is called now and then with the stores that are finished and the records that are read.
	Progress func(stores int, records uint64)
}

// A Result is the analysis of a set of stores.
type Result struct {
	*incident.Report
	Damages []Damage
	More    int    // damages past the bound of the list
	Copies  int    // directories that are copies of another
	Clash   uint64 // record numbers that stand for different records in copies of one store
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

// A collector gathers what concurrent readers find. Its methods may be called from any goroutine.
type collector struct {
	progress func(stores int, records uint64) // nil: nobody is told

	mu      sync.Mutex // guards the fields below
	fleet   incident.Fleet
	result  Result
	stores  int
	records uint64
}

// addRecords counts records that were read.
func (c *collector) addRecords(n uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.records += n
	if c.progress != nil {
		c.progress(c.stores, c.records)
	}
}

// addStore takes the account of a store that is read to its end.
func (c *collector) addStore(part *incident.Part, union *record.Union) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stores++
	c.fleet.Add(part)
	c.result.Clash += union.Conflicts()
	for _, reader := range union.Readers() {
		damages, more := reader.Damages()
		c.result.More += more
		for _, d := range damages {
			if len(c.result.Damages) >= maxDamages {
				c.result.More++
				continue
			}
			c.result.Damages = append(c.result.Damages, Damage{reader.Dir(), d})
		}
	}
}

// progressInterval is the number of records between two reports of progress.
const progressInterval = 1 << 17

// readStore reads one store and returns its account. The union is closed and only good for its statistics.
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

// readRecords hands all records of a store to its account.
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
		part.Take(union.Header(), &r)
		n++
		if n%progressInterval == 0 {
			progress(progressInterval)
			if ctx.Err() != nil {
				return ctx.Err()
			}
		}
	}
}
