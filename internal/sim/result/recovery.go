package result

// A Recovery describes how the service degraded and recovered after a fault.
type Recovery struct {
	Fault         string  `json:"fault"`
	At            float64 `json:"at_s"`
	Lowest        float64 `json:"lowest"`    // service of the worst second after the fault
	TimeToRecover float64 `json:"took_s"`    // time until the service recovered, or notReached; 0 if it never fell
	TimeToDegrade float64 `json:"noticed_s"` // time until the service fell, or notReached
}

// notReached is the value of a time in a Recovery if the event did not occur within the run.
const notReached = -1

// Parameters by which degradation and recovery are detected.
const (
	baselineWindow = 10   // seconds before the fault whose mean service is the baseline
	recoveryWindow = 3    // seconds whose mean service must be near the baseline again
	tolerance      = 0.05 // by which the service may be below the baseline
)

// measure finds the first second after the fault in which the service is below the threshold, and the first one after
// it from which the service of a whole recovery window reaches the threshold.
func (r *Recovery) measure(seconds []service) {
	from := int(r.At)
	threshold := meanService(seconds, from-baselineWindow, from) - tolerance
	r.Lowest = 1
	r.TimeToRecover = notReached
	r.TimeToDegrade = notReached
	for i := from; i < len(seconds); i++ {
		elapsed := float64(i - from)
		if seconds[i].offered > 0 {
			r.Lowest = min(r.Lowest, seconds[i].ratio())
		}
		if r.TimeToDegrade < 0 && meanService(seconds, i, i+1) < threshold {
			r.TimeToDegrade = elapsed
		}
		isAfterFall := r.TimeToDegrade >= 0 && elapsed > r.TimeToDegrade
		hasWindow := i+recoveryWindow <= len(seconds)
		if isAfterFall && r.TimeToRecover < 0 && hasWindow && meanService(seconds, i, i+recoveryWindow) >= threshold {
			r.TimeToRecover = elapsed
		}
	}
	if r.TimeToDegrade < 0 {
		r.TimeToRecover = 0
	}
}

// meanService returns the service ratio of the seconds in [from, to), clipped to those that exist.
func meanService(seconds []service, from, to int) float64 {
	return sum(seconds[max(from, 0):min(max(to, 0), len(seconds))]).ratio()
}
