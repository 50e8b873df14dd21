package scenario

// Default returns the scenario whose values apply to the keys that a file leaves out: moderate load on a fleet of
// the size that the operators run. The values come from the operators' description, from the middle of the range
// where it gives one. It does not divide the work of a call into set-up, answer and release; that division is an
// estimate.
func Default() Scenario {
	return Scenario{
		Name:     "quiet",
		Length:   milliseconds(60000),
		Fleet:    Fleet{Controllers: 7, Exchanges: 3, Zones: 3, Clients: 4},
		Exchange: defaultExchange(),
		Network: Network{
			Near:            millisecondRange(0.3, 1.5),
			Far:             millisecondRange(13, 22),
			EndpointUpdates: millisecondRange(500, 3000),
			Client:          milliseconds(1),
			Peer:            millisecondRange(2.1, 13),
		},
		Callers: defaultCallers(),
		Class:   defaultClasses(),
	}
}

func defaultExchange() Exchange {
	return Exchange{
		SetUp:              milliseconds(15),
		Answer:             milliseconds(8),
		Release:            milliseconds(7),
		Reject:             milliseconds(4),
		Repeat:             milliseconds(2),
		Variation:          0.3,
		RejectDelay:        milliseconds(2900),
		RetransmitInterval: milliseconds(500),
		Ring:               milliseconds(40),
		Circuits:           2000,
		Planned:            0.8,
		SlowStartShare:     0.31,
		SlowStartPeriod:    milliseconds(15000),
		SlowStartFailure:   3,
	}
}

func defaultCallers() Callers {
	return Callers{
		Load:               0.7,
		Shape:              shapePoisson,
		Period:             milliseconds(30000),
		MaxRedials:         3,
		RedialDelay:        millisecondRange(500, 2000),
		Patience:           [2]float64{0.3, 0.4},
		PreferenceInterval: millisecondRange(11000, 20000),
		PreferredWeight:    2,
	}
}

func defaultClasses() []Class {
	return []Class{
		{
			Name: "resident-call", Share: 0.61, Holding: milliseconds(9000),
			LatencyObjective: milliseconds(1500), Deadline: milliseconds(9000), Weight: 1, LateShare: 0.25,
		},
		{
			Name: "concierge-call", Share: 0.17, Holding: milliseconds(13500),
			LatencyObjective: milliseconds(1200), Deadline: milliseconds(9000), Weight: 3, LateShare: 0.25,
		},
		{
			Name: "delivery-call", Share: 0.22, Holding: milliseconds(6300),
			LatencyObjective: milliseconds(2000), Deadline: milliseconds(9000), Weight: 1, LateShare: 0.25,
		},
	}
}
