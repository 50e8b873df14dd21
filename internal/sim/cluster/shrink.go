package cluster

import (
	"context"
	"slices"
)

// Shrink looks for the fewest steps of a schedule by which a run still goes wrong, as bad tells of a
// schedule that it plays. Real processes do not repeat themselves: a schedule is given tries plays, and
// counts as good if none of them goes wrong. It halves first, then leaves out one by one; nil: the whole
// schedule did not go wrong either.
func Shrink(ctx context.Context, s *Schedule, tries int, bad func(*Schedule) (bool, error)) (*Schedule, error) {
	fails := func(steps []*Fault) (bool, error) {
		for range tries {
			if err := ctx.Err(); err != nil {
				return false, err
			}
			if wrong, err := bad(&Schedule{Seed: s.Seed, Step: steps}); err != nil || wrong {
				return wrong, err
			}
		}
		return false, nil
	}
	steps := slices.Clone(s.Step)
	if wrong, err := fails(steps); err != nil || !wrong {
		return nil, err
	}
	for size := (len(steps) + 1) / 2; size >= 1; {
		smaller := false
		for from := 0; from < len(steps); {
			rest := slices.Delete(slices.Clone(steps), from, min(from+size, len(steps)))
			wrong, err := fails(rest)
			if err != nil {
				return nil, err
			}
			if wrong {
				steps, smaller = rest, true
			} else {
				from += size
			}
		}
		if !smaller || size > 1 {
			size /= 2
		}
	}
	return &Schedule{Seed: s.Seed, Step: steps}, nil
}
