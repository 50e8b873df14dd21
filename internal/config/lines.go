package config

import "strings"

// lineOf finds the line, from 1 on, in which a dotted key is set in a text that the TOML
// parser has read without an error: the parser tells no positions of keys. Where the key is
// absent it is the line of the nearest table above it, 1 at last. Of a table that stands
// several times ([[h248.server]]) the first line with the key is given.
func lineOf(text []byte, key string) int {
	found, depth := 1, -1
	table := ""
	for i, line := range strings.Split(string(text), "\n") {
		line = strings.TrimSpace(line)
		if name, ok := strings.CutPrefix(line, "["); ok {
			name = strings.TrimPrefix(name, "[")
			name, _, _ = strings.Cut(name, "]")
			table = clean(name)
			line = ""
		}
		at := table
		if name, _, ok := strings.Cut(line, "="); ok && line[0] != '#' {
			at = strings.TrimPrefix(table+"."+clean(name), ".")
		} else if line != "" {
			continue
		}
		if d := len(at); d > depth && (at == key || strings.HasPrefix(key, at+".")) && at != "" {
			found, depth = i+1, d
		}
	}
	return found
}

// clean takes blanks and quotes off the parts of a key.
func clean(key string) string {
	parts := strings.Split(key, ".")
	for i, p := range parts {
		parts[i] = strings.Trim(strings.TrimSpace(p), `"'`)
	}
	return strings.Join(parts, ".")
}
