package result

// A Recovery is the course of the service after a fault.
type Recovery struct {
	Fault   string  `json:"fault"`
	At      float64 `json:"at_s"`
	Lowest  float64 `json:"lowest"`    // service of the worst second after the fault
	Took    float64 `json:"took_s"`    // time until the service recovered; notReached if it did not within the run
	Noticed float64 `json:"noticed_s"` // time until the service fell; notReached if it did not
}

// notReached is the time of a Recovery for an event that did not occur in the run.
const notReached = -1

// Parameters of the detection of a fall and of the recovery, in seconds.
const (
	baselineWindow = 10   // before the fault, of which the service is the baseline
	recoveryWindow = 3    // that must reach the baseline again
	tolerance      = 0.05 // of the service, below the baseline
)

// measure finds the second in which the service fell after the fault, and the one from which it was back near its
// baseline for the recovery window.
func (r *Recovery) measure(seconds []service) {
	from := int(r.At)
	threshold := meanService(seconds, from-baselineWindow, from) - tolerance
	r.Lowest = 1
	r.Took = notReached
	r.Noticed = notReached
	for i := from; i < len(seconds); i++ {
		elapsed := float64(i - from)
		if seconds[i].offered > 0 {
			r.Lowest = min(r.Lowest, seconds[i].ratio())
		}
		if r.Noticed < 0 && meanService(seconds, i, i+1) < threshold {
			r.Noticed = elapsed
		}
		isFallen := r.Noticed >= 0 && elapsed > r.Noticed
		hasWindow := i+recoveryWindow <= len(seconds)
		if isFallen && r.Took < 0 && hasWindow && meanService(seconds, i, i+recoveryWindow) >= threshold {
			r.Took = elapsed
		}
	}
	if r.Noticed < 0 {
		r.Took = 0
	}
}

// meanService returns the service ratio of the seconds from one index to before another, as far as they exist.
func meanService(seconds []service, from, to int) float64 {
	return sum(seconds[max(from, 0):min(max(to, 0), len(seconds))]).ratio()
}
