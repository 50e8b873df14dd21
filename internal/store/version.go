package store

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// A version is stored in the file NAME-SERIAL.value, in which the serial has leading zeros.
const (
	valueSuffix     = ".value"
	temporarySuffix = ".writing"
	serialDigits    = 20
)

// maxNameBytes is the maximum length of a name.
const maxNameBytes = 63

func fileName(name string, serial uint64) string {
	return fmt.Sprintf("%s-%0*d%s", name, serialDigits, serial, valueSuffix)
}

// isValidName reports whether a name consists of lower-case letters and digits only. Other characters could lead out of
// the directory or make a file look like that of another name.
func isValidName(name string) bool {
	isForbidden := func(c rune) bool {
		isLetter := c >= 'a' && c <= 'z'
		isDigit := c >= '0' && c <= '9'
		return !isLetter && !isDigit
	}
	return name != "" && len(name) <= maxNameBytes && !strings.ContainsFunc(name, isForbidden)
}

// nameOf returns the name of the value that a file holds, and whether the file holds one.
func nameOf(file string) (name string, isValue bool) {
	name, _, isValue = strings.Cut(file, "-")
	if !isValue || !strings.HasSuffix(file, valueSuffix) || !isValidName(name) {
		return "", false
	}
	return name, true
}

// serialOf returns the serial of a file and whether the file is a version of the named value.
func serialOf(name, file string) (serial uint64, isVersion bool) {
	rest, hasName := strings.CutPrefix(file, name+"-")
	digits, hasSuffix := strings.CutSuffix(rest, valueSuffix)
	if !hasName || !hasSuffix || len(digits) != serialDigits {
		return 0, false
	}
	serial, err := strconv.ParseUint(digits, 10, 64)
	return serial, err == nil
}

// serials returns the serials of all versions of a value, newest first.
func (s *Store) serials(name string) ([]uint64, error) {
	files, err := s.fs.List()
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	var all []uint64
	for _, file := range files {
		if serial, isVersion := serialOf(name, file); isVersion {
			all = append(all, serial)
		}
	}
	slices.Sort(all)
	slices.Reverse(all)
	return all, nil
}
