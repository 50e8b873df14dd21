package config

import "strings"

// lineOf returns the number of the line, starting from 1, that sets a dotted key in a valid TOML text. It exists
// because the TOML parser does not report the positions of keys. For an absent key it returns the line of the innermost
// enclosing table, or 1. For an array of tables ([[h248.server]]) it returns the first line that sets the key.
func lineOf(text []byte, key string) int {
	found := 1
	longest := 0
	table := ""
	for i, line := range strings.Split(string(text), "\n") {
		path := ""
		if name, isTable := tableName(line); isTable {
			table = name
			path = name
		} else if name, isSetting := settingName(line); isSetting {
			path = strings.TrimPrefix(table+"."+name, ".")
		}
		if path == "" {
			continue
		}
		encloses := path == key || strings.HasPrefix(key, path+".")
		if encloses && len(path) > longest {
			found = i + 1
			longest = len(path)
		}
	}
	return found
}

// tableName returns the name in a table header, [name] or [[name]].
func tableName(line string) (name string, isTable bool) {
	name, isTable = strings.CutPrefix(strings.TrimSpace(line), "[")
	if !isTable {
		return "", false
	}
	name = strings.TrimPrefix(name, "[")
	name, _, _ = strings.Cut(name, "]")
	return normalizeKey(name), true
}

// settingName returns the key in a line of the form key = value.
func settingName(line string) (name string, isSetting bool) {
	line = strings.TrimSpace(line)
	if strings.HasPrefix(line, "#") {
		return "", false
	}
	name, _, isSetting = strings.Cut(line, "=")
	return normalizeKey(name), isSetting
}

// normalizeKey removes white space and quotes around the parts of a dotted key.
func normalizeKey(key string) string {
	parts := strings.Split(key, ".")
	for i, part := range parts {
		parts[i] = strings.Trim(strings.TrimSpace(part), `"'`)
	}
	return strings.Join(parts, ".")
}
