package result

// service is the total weight of the calls that were offered and the weight that they earned.
type service struct{ offered, earned float64 }

// ratio returns the earned weight over the offered weight, or 1 if nothing was offered.
func (s service) ratio() float64 {
	if s.offered <= 0 {
		return 1
	}
	return s.earned / s.offered
}

func sum(parts []service) service {
	var total service
	for _, part := range parts {
		total.offered += part.offered
		total.earned += part.earned
	}
	return total
}

// worst returns the lowest service ratio of any window of consecutive seconds.
func worst(seconds []service, window int) float64 {
	lowest := 1.0
	for i := 0; i+window <= len(seconds); i++ {
		lowest = min(lowest, sum(seconds[i:i+window]).ratio())
	}
	return lowest
}

// fairness returns Jain's fairness index of the service ratios: 1 if all are equal (Jain, Chiu and Hawe, 1984).
func fairness(controllers []service) float64 {
	var total, squares, count float64
	for _, c := range controllers {
		if c.offered > 0 {
			ratio := c.ratio()
			total += ratio
			squares += ratio * ratio
			count++
		}
	}
	if squares == 0 {
		return 1
	}
	return total * total / (count * squares)
}
