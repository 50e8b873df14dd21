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
		Wire: Wire{
			Near:   span(0.3, 1.5),
			Far:    span(13, 22),
			News:   span(500, 3000),
			Client: milliseconds(1),
			Peer:   span(2.1, 13),
		},
		Callers: defaultCallers(),
		Class:   defaultClasses(),
	}
}

func defaultExchange() Exchange {
	return Exchange{
		SetUp:   milliseconds(15),
		Answer:  milliseconds(8),
		Release: milliseconds(7),
		Reject:  milliseconds(4),
		Repeat:  milliseconds(2),
		Vary:    0.3,
		Full:    milliseconds(2900),
		Again:   milliseconds(500),
		Ring:    milliseconds(40),
		Lines:   2000,
		Planned: 0.8,
		Start:   0.31,
		Warm:    milliseconds(15000),
		Fall:    3,
	}
}

func defaultCallers() Callers {
	return Callers{
		Load:     0.7,
		Shape:    shapePoisson,
		Period:   milliseconds(30000),
		Tries:    3,
		Wait:     span(500, 2000),
		Patience: [2]float64{0.3, 0.4},
		Shift:    span(11000, 20000),
		Lean:     2,
	}
}

func defaultClasses() []Class {
	return []Class{
		{
			Name: "resident-call", Share: 0.61, Holding: milliseconds(9000),
			Aim: milliseconds(1500), GiveUp: milliseconds(9000), Worth: 1, Late: 0.25,
		},
		{
			Name: "concierge-call", Share: 0.17, Holding: milliseconds(13500),
			Aim: milliseconds(1200), GiveUp: milliseconds(9000), Worth: 3, Late: 0.25,
		},
		{
			Name: "delivery-call", Share: 0.22, Holding: milliseconds(6300),
			Aim: milliseconds(2000), GiveUp: milliseconds(9000), Worth: 1, Late: 0.25,
		},
	}
}
