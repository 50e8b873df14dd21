package portability

import "time"

// Budget limits the time of a look-up. The time that remains until the caller's deadline must suffice for two attempts,
// the guard time between them and the final answer.
type Budget struct {
	AttemptDuration time.Duration // time for an attempt to be established or to fail
	RetryGuard      time.Duration // guard time between two attempts
	AnswerDuration  time.Duration // time for the final answer to reach the caller
	MaxShare        float64       // maximum share of the remaining time, 0 to 1
}

// LookUpTime returns the time that a look-up may take if the caller's deadline is remaining from now. It is 0 if there
// is no time for a look-up.
func (b Budget) LookUpTime(remaining time.Duration) time.Duration {
	spare := remaining - 2*b.AttemptDuration - b.RetryGuard - b.AnswerDuration
	share := time.Duration(b.MaxShare * float64(remaining))
	return max(min(spare, share), 0)
}
