// Package report reads stores, has internal/incident analyse them, and writes the account as
// one HTML file or as JSON. It draws and words what was found; it counts nothing of its own.
package report

import (
	"context"
	"errors"
	"fmt"
	"io"
	"runtime"
	"sync"
	"sync/atomic"

	"golang.org/x/sync/errgroup"

	"olivedale/internal/incident"
	"olivedale/internal/record"
)

// Options say what is read.
type Options struct {
	From, To record.Time                      // calls within these, by their instances' clocks; 0: no bound
	Workers  int                              // stores read side by side; 0: one a core
	Progress func(stores int, records uint64) // told now and then how far the reading is; may be nil
}

// A Result is what reading stores has brought.
type Result struct {
	*incident.Report
	Damages []Damage
	More    int // damages past the list
	Copies  int // folders that are copies of another
	Clash   uint64
}

// A Damage is one in a store.
type Damage struct {
	Dir string `json:"dir"`
	record.Damage
}

const mostDamages = 200

// Read reads stores side by side, each in one pass. Memory does not grow with the records.
func Read(ctx context.Context, stores []record.Store, o Options) (*Result, error) {
	if o.Workers <= 0 {
		o.Workers = runtime.GOMAXPROCS(0)
	}
	var fleet incident.Fleet
	var mu sync.Mutex // guards fleet and res
	res := &Result{}
	var records atomic.Uint64
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(o.Workers)
	done := 0
	for _, s := range stores {
		res.Copies += len(s.Dirs) - 1
		g.Go(func() error {
			p, u, err := readStore(ctx, s, o, func(n uint64) {
				if total := records.Add(n); o.Progress != nil {
					mu.Lock()
					defer mu.Unlock()
					o.Progress(done, total)
				}
			})
			if err != nil {
				return fmt.Errorf("reading %v: %w", s.Dirs, err)
			}
			mu.Lock()
			defer mu.Unlock()
			done++
			fleet.Add(p)
			res.Clash += u.Conflicts()
			for _, r := range u.Readers() {
				list, more := r.Damages()
				for _, d := range list {
					if len(res.Damages) >= mostDamages {
						more++
						continue
					}
					res.Damages = append(res.Damages, Damage{r.Dir(), d})
				}
				res.More += more
			}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	res.Report = fleet.Report()
	return res, nil
}

// portion is how many records are read between two words on progress.
const portion = 1 << 17

func readStore(ctx context.Context, s record.Store, o Options, progress func(uint64)) (*incident.Part, *record.Union, error) {
	u, err := record.OpenStore(s)
	if err != nil {
		return nil, nil, err
	}
	p := incident.NewPart()
	p.Instance, p.From, p.To = s.Name, o.From, o.To
	var r record.Record
	n := uint64(0)
	for {
		if err = u.Next(&r); err != nil {
			break
		}
		p.Take(u.Header(), &r)
		if n++; n%portion == 0 {
			if progress(portion); ctx.Err() != nil {
				err = ctx.Err()
				break
			}
		}
	}
	if !errors.Is(err, io.EOF) {
		return nil, nil, errors.Join(err, u.Close())
	}
	progress(n % portion)
	p.Close()
	return p, u, u.Close()
}
