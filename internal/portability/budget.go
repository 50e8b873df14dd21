package portability

import "time"

// Budget bounds the part of a caller's time that a look-up may take: the rest must suffice for two attempts, the retry
// guard between them, and the final answer.
type Budget struct {
	AttemptDuration time.Duration // for an attempt to be established or to fail
	RetryGuard      time.Duration // between two attempts
	AnswerDuration  time.Duration // for the final answer to reach the caller
	MaxShare        float64       // maximum share of the time that is left
}

// LookUpTime returns the time for a look-up if left is the time until the caller's deadline; 0 if there is none.
func (b Budget) LookUpTime(left time.Duration) time.Duration {
	spare := left - 2*b.AttemptDuration - b.RetryGuard - b.AnswerDuration
	share := time.Duration(b.MaxShare * float64(left))
	return max(min(spare, share), 0)
}
