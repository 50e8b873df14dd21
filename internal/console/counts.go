package console

import (
	"math"
	"time"
)

// Counts are numbers of calls, and of attempts, since the start of an instance. The keys of the JSON form are an
// interface and keep the older terms; docs/glossary.md maps them to the terms used in the code.
type Counts struct {
	Offered     uint64 `json:"offered"`
	Established uint64 `json:"stood"`
	Late        uint64 `json:"late"`
	Rejected    uint64 `json:"refused"`
	Failed      uint64 `json:"failed"`
	Abandoned   uint64 `json:"given_up"`
	Dropped     uint64 `json:"cut"`
	Attempts    uint64 `json:"attempts"`
}

func (c *Counts) add(other Counts) {
	c.Offered += other.Offered
	c.Established += other.Established
	c.Late += other.Late
	c.Rejected += other.Rejected
	c.Failed += other.Failed
	c.Abandoned += other.Abandoned
	c.Dropped += other.Dropped
	c.Attempts += other.Attempts
}

// hasRestarted reports whether the counts are lower than earlier ones, which only a new start explains.
func (c *Counts) hasRestarted(earlier Counts) bool {
	return c.Offered < earlier.Offered || c.Attempts < earlier.Attempts || c.Established < earlier.Established
}

// Rates are numbers of calls, and of attempts, per second. An unknown rate is NaN: in the first snapshot, after a
// restart, and after a gap in the records.
type Rates struct {
	Offered     float64
	Established float64
	Rejected    float64
	Failed      float64
	Dropped     float64
	Attempts    float64
}

// unknownRates returns rates that are all NaN.
func unknownRates() Rates {
	nan := math.NaN()
	return Rates{Offered: nan, Established: nan, Rejected: nan, Failed: nan, Dropped: nan, Attempts: nan}
}

// ratesBetween returns the rates between two counts. They are unknown if no time passed or the instance restarted.
func ratesBetween(earlier, later Counts, elapsed time.Duration) Rates {
	if elapsed <= 0 || later.hasRestarted(earlier) {
		return unknownRates()
	}
	rate := func(before, after uint64) float64 {
		return float64(after-min(before, after)) / elapsed.Seconds()
	}
	return Rates{
		Offered:     rate(earlier.Offered, later.Offered),
		Established: rate(earlier.Established, later.Established),
		Rejected:    rate(earlier.Rejected, later.Rejected),
		Failed:      rate(earlier.Failed, later.Failed),
		Dropped:     rate(earlier.Dropped, later.Dropped),
		Attempts:    rate(earlier.Attempts, later.Attempts),
	}
}

// plus returns the sum of rates. A sum is unknown if one of its rates is.
func (r Rates) plus(other Rates) Rates {
	return Rates{
		Offered:     r.Offered + other.Offered,
		Established: r.Established + other.Established,
		Rejected:    r.Rejected + other.Rejected,
		Failed:      r.Failed + other.Failed,
		Dropped:     r.Dropped + other.Dropped,
		Attempts:    r.Attempts + other.Attempts,
	}
}
