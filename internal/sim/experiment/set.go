package experiment

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/BurntSushi/toml"

	"olivedale/internal/sim/scenario"
)

// faultTable is the first element of a key that refers to a fault.
const faultTable = "fault"

// Set returns a checked copy of the scenario with one key changed. The key is named as in a scenario file
// ("callers.load"); faults are numbered from 1 ("fault.2.factor").
func Set(sc *scenario.Scenario, key, value string) (*scenario.Scenario, error) {
	changed := *sc
	changed.Class = slices.Clone(sc.Class)
	changed.Fault = slices.Clone(sc.Fault)
	meta, err := decodeKey(&changed, key, value)
	if err != nil {
		return nil, err
	}
	if len(meta.Undecoded()) > 0 {
		return nil, fmt.Errorf("%s: unknown scenario key", key)
	}
	if err := changed.Check(); err != nil {
		return nil, err
	}
	return &changed, nil
}

// decodeKey decodes a key and its value into the scenario as if they were in its file.
func decodeKey(sc *scenario.Scenario, key, value string) (toml.MetaData, error) {
	path := strings.Split(key, ".")
	table, name := path[:len(path)-1], path[len(path)-1]
	target := any(sc)
	text := name + " = " + value
	switch {
	case path[0] == faultTable:
		fault, err := faultOf(sc, key, path)
		if err != nil {
			return toml.MetaData{}, err
		}
		target = fault
	case len(table) > 0:
		text = "[" + strings.Join(table, ".") + "]\n" + text
	}
	meta, err := toml.Decode(text, target)
	if err != nil {
		return meta, fmt.Errorf("%s = %s: %w", key, value, err)
	}
	return meta, nil
}

// faultOf returns the fault to which a path refers: "fault", its number from 1, and the name of a parameter.
func faultOf(sc *scenario.Scenario, key string, path []string) (*scenario.Fault, error) {
	number := 0
	if len(path) == 3 {
		number, _ = strconv.Atoi(path[1])
	}
	if number < 1 || number > len(sc.Fault) {
		return nil, fmt.Errorf("%s: no such fault: the scenario has %d; a key of the first is fault.1.factor",
			key, len(sc.Fault))
	}
	return &sc.Fault[number-1], nil
}
