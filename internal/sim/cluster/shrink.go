package cluster

import (
	"context"
	"slices"
)

// Shrink reduces s to a schedule with fewer faults that still fails, by delta debugging: it removes first halves, then
// smaller chunks, then single faults. It returns nil if s itself does not fail.
//
// fails plays a schedule and reports whether the run failed. Because runs of real processes are not reproducible, a
// schedule is played up to tries times, and passes if no run fails.
func Shrink(ctx context.Context, s *Schedule, tries int, fails func(*Schedule) (bool, error)) (*Schedule, error) {
	k := &shrinker{seed: s.Seed, tries: tries, fails: fails}
	faults := slices.Clone(s.Faults)
	if failed, err := k.failsWith(ctx, faults); err != nil || !failed {
		return nil, err
	}
	for size := (len(faults) + 1) / 2; size >= 1; {
		smaller, err := k.removeChunks(ctx, faults, size)
		if err != nil {
			return nil, err
		}
		if len(smaller) == len(faults) || size > 1 {
			size /= 2
		}
		faults = smaller
	}
	return &Schedule{Seed: s.Seed, Faults: faults}, nil
}

// A shrinker plays the candidate schedules of Shrink.
type shrinker struct {
	seed  uint64
	tries int
	fails func(*Schedule) (bool, error)
}

// removeChunks removes each chunk of size faults without which the schedule still fails.
func (k *shrinker) removeChunks(ctx context.Context, faults []*Fault, size int) ([]*Fault, error) {
	for from := 0; from < len(faults); {
		rest := slices.Delete(slices.Clone(faults), from, min(from+size, len(faults)))
		failed, err := k.failsWith(ctx, rest)
		if err != nil {
			return nil, err
		}
		if failed {
			faults = rest
		} else {
			from += size
		}
	}
	return faults, nil
}

// failsWith reports whether a schedule of the faults fails in one of up to tries runs.
func (k *shrinker) failsWith(ctx context.Context, faults []*Fault) (bool, error) {
	for range k.tries {
		if err := ctx.Err(); err != nil {
			return false, err
		}
		failed, err := k.fails(&Schedule{Seed: k.seed, Faults: faults})
		if err != nil || failed {
			return failed, err
		}
	}
	return false, nil
}
