package adminapi

import (
	"math"
	"math/bits"
	"strconv"
	"time"

	"olivedale/internal/codec/h248"
)

// propertyPrefix starts the names of all properties and nodes of the protocol. It consists of the package name, which
// H.248.1, section 6.2.3, requires.
const propertyPrefix = "oc/"

// A property converts one part of a T to the text of an H.248 property and back. A property with an empty text is not
// sent.
type property[T any] struct {
	name   string // without propertyPrefix
	format func(*T) string
	parse  func(v *T, text string) error
}

// A propertyList lists the properties that represent a T, in the order in which they are sent.
type propertyList[T any] []property[T]

// nodes returns a node for each property of v that is not empty.
func (l propertyList[T]) nodes(v *T, quoted bool) []*h248.Node {
	var nodes []*h248.Node
	for _, p := range l {
		if text := p.format(v); text != "" {
			nodes = append(nodes, &h248.Node{Name: propertyPrefix + p.name, Value: text, Quoted: quoted})
		}
	}
	return nodes
}

// node returns a node that contains the properties of v as quoted strings.
func (l propertyList[T]) node(name string, v *T) *h248.Node {
	return &h248.Node{Name: name, Children: l.nodes(v, true)}
}

// parse sets the parts of v whose properties are present. The function lookup returns the text of a property, or "" if
// it is absent. After an invalid property, parse continues with the others and returns the first error.
func (l propertyList[T]) parse(v *T, lookup func(name string) string) error {
	var firstErr error
	for _, p := range l {
		text := lookup(propertyPrefix + p.name)
		if text == "" {
			continue
		}
		if err := p.parse(v, text); err != nil && firstErr == nil {
			firstErr = err
		}
	}
	return firstErr
}

// parseNode parses the properties of a node. It ignores invalid properties, because an instance of another version may
// send them.
func (l propertyList[T]) parseNode(n *h248.Node) T {
	var v T
	_ = l.parse(&v, func(name string) string { return h248.Value(n.Children, name) })
	return v
}

func textProperty[T any](name string, part func(*T) *string) property[T] {
	return property[T]{
		name:   name,
		format: func(v *T) string { return *part(v) },
		parse: func(v *T, text string) error {
			*part(v) = text
			return nil
		},
	}
}

func boolProperty[T any](name string, part func(*T) *bool) property[T] {
	return property[T]{
		name:   name,
		format: func(v *T) string { return strconv.FormatBool(*part(v)) },
		parse: func(v *T, text string) error {
			*part(v) = text == "true"
			return nil
		},
	}
}

func intProperty[T any](name string, part func(*T) *int) property[T] {
	return property[T]{
		name:   name,
		format: func(v *T) string { return strconv.Itoa(*part(v)) },
		parse: func(v *T, text string) (err error) {
			*part(v), err = strconv.Atoi(text)
			return err
		},
	}
}

func uintProperty[T any, U uint32 | uint64](name string, base int, part func(*T) *U) property[T] {
	bitSize := bits.Len64(uint64(^U(0)))
	return property[T]{
		name:   name,
		format: func(v *T) string { return strconv.FormatUint(uint64(*part(v)), base) },
		parse: func(v *T, text string) error {
			n, err := strconv.ParseUint(text, base, bitSize)
			*part(v) = U(n)
			return err
		},
	}
}

// floatProperty represents a number with six significant digits.
func floatProperty[T any](name string, part func(*T) *float64) property[T] {
	return property[T]{
		name:   name,
		format: func(v *T) string { return formatFloat(*part(v)) },
		parse: func(v *T, text string) error {
			number, err := strconv.ParseFloat(text, 64)
			if err == nil && !math.IsNaN(number) {
				*part(v) = number
			}
			return err
		},
	}
}

func formatFloat(v float64) string { return strconv.FormatFloat(v, 'g', 6, 64) }

// durationProperty represents a duration in the format of time.Duration.String.
func durationProperty[T any](name string, part func(*T) *time.Duration) property[T] {
	return property[T]{
		name:   name,
		format: func(v *T) string { return part(v).String() },
		parse: func(v *T, text string) (err error) {
			*part(v), err = time.ParseDuration(text)
			return err
		},
	}
}

// nanosecondsProperty represents a duration as an integer number of nanoseconds.
func nanosecondsProperty[T any](name string, part func(*T) *time.Duration) property[T] {
	return property[T]{
		name:   name,
		format: func(v *T) string { return strconv.FormatInt(int64(*part(v)), 10) },
		parse: func(v *T, text string) error {
			n, err := strconv.ParseInt(text, 10, 64)
			*part(v) = time.Duration(n)
			return err
		},
	}
}

// omitZero returns a copy of a numeric property that is not sent if it is zero.
func omitZero[T any](p property[T]) property[T] {
	format := p.format
	p.format = func(v *T) string {
		text := format(v)
		if text == "0" {
			return ""
		}
		return text
	}
	return p
}
