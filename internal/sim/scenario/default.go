package scenario

// Default returns the scenario that a file amends: a quiet day at the size of the operators' fleet. The figures
// are those of the operators' description, in the middle of the ranges where it gives ranges. The division of a
// call's work into set-up, answer and release is the project's own estimate, since the description has none.
func Default() Scenario {
	return Scenario{
		Name:     "quiet",
		Length:   milliseconds(60000),
		Fleet:    Fleet{Controllers: 7, Exchanges: 3, Zones: 3, Clients: 4},
		Exchange: defaultExchange(),
		Network: Network{
			Near:            span(0.3, 1.5),
			Far:             span(13, 22),
			EndpointUpdates: span(500, 3000),
			Client:          milliseconds(1),
			Peer:            span(2.1, 13),
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
		RedialDelay:        span(500, 2000),
		Patience:           [2]float64{0.3, 0.4},
		PreferenceInterval: span(11000, 20000),
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
