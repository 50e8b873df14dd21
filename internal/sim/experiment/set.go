package experiment

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/BurntSushi/toml"

	"olivedale/internal/sim/scenario"
)

// faultTable is the first part of a key that sets a value of a fault.
const faultTable = "fault"

// Set returns a copy of the scenario with one key changed, named as in the scenario's file ("callers.load").
// Faults are counted from 1: "fault.2.factor". The copy is checked.
func Set(sc *scenario.Scenario, key, value string) (*scenario.Scenario, error) {
	changed := *sc
	changed.Class = slices.Clone(sc.Class)
	changed.Fault = slices.Clone(sc.Fault)
	meta, err := decodeKey(&changed, key, value)
	if err != nil {
		return nil, err
	}
	if len(meta.Undecoded()) > 0 {
		return nil, fmt.Errorf("%s: unknown key of a scenario", key)
	}
	if err := changed.Check(); err != nil {
		return nil, err
	}
	return &changed, nil
}

// decodeKey decodes a key and its value into the scenario as if they stood in its file.
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

// faultOf returns the fault that a key's path names: "fault", its number from 1, and the name of a value.
func faultOf(sc *scenario.Scenario, key string, path []string) (*scenario.Fault, error) {
	number := 0
	if len(path) == 3 {
		number, _ = strconv.Atoi(path[1])
	}
	if number < 1 || number > len(sc.Fault) {
		return nil, fmt.Errorf("%s: the scenario has %d faults; the first is named like fault.1.factor",
			key, len(sc.Fault))
	}
	return &sc.Fault[number-1], nil
}
