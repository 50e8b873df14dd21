// Package sabourin reproduces the curves of Sabourin's paper "Overload control in a distributed switching system with
// call priorities" (ITC-13), on which the design of the admission control is based. It computes the handled load
// against the offered load by the theory of the paper, and by a simulation of the emulated exchange with the load
// measurement of the paper. Controllers do not use it.
package sabourin

// kind is a kind of call. Kinds are ordered by priority: the first is rejected first.
type kind int

const (
	outgoing kind = iota // non-urgent, rejected above the first threshold
	incoming             // non-urgent, rejected above the second threshold
	urgent               // never rejected
	kinds                // number of kinds
)

// A Mix is the traffic offered to a processor and the thresholds of its overload control.
type Mix struct {
	Share      [kinds]float64 // shares of outgoing, incoming and urgent calls
	RejectCost float64        // processing time of a rejected call over that of an accepted one
	S1, S2     float64        // load thresholds for the rejection of outgoing calls, and of incoming ones
}

// A Load is the load of a processor, as a share of its capacity.
type Load struct {
	Handled float64 // by accepted calls
	Total   float64 // by accepted and rejected calls
}

// PaperMix returns the mix of the paper, with thresholds of 0.8 and 0.9, for a relative cost of rejections. The paper
// considers costs of 0 (the ideal case) and of 30 to 50%. It does not specify the shares of the kinds; the ones here
// are assumptions.
func PaperMix(reject float64) Mix {
	return Mix{Share: [kinds]float64{0.5, 0.4, 0.1}, RejectCost: reject, S1: 0.8, S2: 0.9}
}

// Theory returns the steady-state load for an offered load (section 3 of the paper). As the offered load grows, the
// rejection of outgoing calls holds the total load at S1, then that of incoming ones holds it at S2; beyond that it
// grows.
func (m Mix) Theory(offered float64) Load {
	rejected := 0.0 // share of the calls whose kinds are rejected completely
	for i, threshold := range []float64{m.S1, m.S2} {
		if total := m.total(offered, rejected); total <= threshold {
			return Load{Handled: offered * (1 - rejected), Total: total}
		}
		if m.total(offered, rejected+m.Share[i]) <= threshold {
			needed := (1 - threshold/offered) / (1 - m.RejectCost)
			return Load{Handled: offered * (1 - needed), Total: threshold}
		}
		rejected += m.Share[i]
	}
	return Load{Handled: offered * (1 - rejected), Total: m.total(offered, rejected)}
}

// total returns the total load if the given share of the offered calls is rejected.
func (m Mix) total(offered, rejected float64) float64 {
	return offered * (1 - rejected*(1-m.RejectCost))
}

// Collapse returns the offered load above which the total load exceeds S2 even though only urgent calls are accepted.
// Beyond it the total load grows without bound.
func (m Mix) Collapse() float64 {
	rejected := m.Share[outgoing] + m.Share[incoming]
	return m.S2 / (1 - rejected*(1-m.RejectCost))
}
