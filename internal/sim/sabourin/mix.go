// Package sabourin reproduces the curves of Sabourin's paper "Overload control in a distributed switching system with
// call priorities" (ITC-13), on which the design of the admission control is based: handled load against offered load,
// by the paper's theory and by a simulation of the emulated exchange with the paper's counting procedure. It takes no
// part in the product's decisions.
package sabourin

// kind is a kind of call in the order of rejection: the first is rejected first.
type kind int

const (
	outgoing kind = iota // non-urgent, rejected above the first threshold
	incoming             // non-urgent, rejected above the second threshold
	urgent               // never rejected
	kinds
)

// A Mix is the traffic offered to a processor and the thresholds of its overload control.
type Mix struct {
	Share  [kinds]float64 // of the calls: outgoing, incoming, urgent
	Reject float64        // processing time of a rejected call over that of an accepted one
	S1, S2 float64        // load from which outgoing calls are rejected, and incoming ones as well
}

// A Load is the load of a processor, as a share of its capacity.
type Load struct {
	Handled float64 // by accepted calls
	Total   float64 // by accepted and rejected calls
}

// Paper returns the paper's mix for a relative cost of rejections: thresholds of 0.8 and 0.9. The paper considers
// costs of 0 (its ideal) and of 30 to 50%. It does not state the shares of the kinds; these are the project's.
func Paper(reject float64) Mix {
	return Mix{Share: [kinds]float64{0.5, 0.4, 0.1}, Reject: reject, S1: 0.8, S2: 0.9}
}

// Theory returns the load for an offered load in steady state (section 3 of the paper): the total load is held at
// S1 by the rejection of outgoing calls, then at S2 by that of incoming ones, and grows from there on.
func (m Mix) Theory(offered float64) Load {
	rejected := 0.0 // share of all calls, of the kinds that are rejected completely
	for i, threshold := range []float64{m.S1, m.S2} {
		if total := m.total(offered, rejected); total <= threshold {
			return Load{Handled: offered * (1 - rejected), Total: total}
		}
		if m.total(offered, rejected+m.Share[i]) <= threshold {
			needed := (1 - threshold/offered) / (1 - m.Reject)
			return Load{Handled: offered * (1 - needed), Total: threshold}
		}
		rejected += m.Share[i]
	}
	return Load{Handled: offered * (1 - rejected), Total: m.total(offered, rejected)}
}

// total returns the total load if a share of the offered calls is rejected.
func (m Mix) total(offered, rejected float64) float64 {
	return offered * (1 - rejected*(1-m.Reject))
}

// Collapse returns the offered load from which the total load exceeds S2 although all calls but the urgent ones
// are rejected. Beyond it the total load grows without bound.
func (m Mix) Collapse() float64 {
	rejected := m.Share[outgoing] + m.Share[incoming]
	return m.S2 / (1 - rejected*(1-m.Reject))
}
