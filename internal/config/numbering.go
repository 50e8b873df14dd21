package config

import (
	"cmp"
	"net/netip"
)

// Numbering is the section [numbers], which switches routing by the called number on.
type Numbering struct {
	File   string `toml:"file" json:"file"`   // routing rules; docs/operate/numbering.md describes them
	State  string `toml:"state" json:"state"` // directory for versions loaded in service; "": a restart loses them
	Lookup Lookup `toml:"lookup" json:"lookup"`
}

// Lookup is the section [numbers.lookup]: the look-up of ported numbers. Without servers there is none, and ported
// numbers are routed as they are.
type Lookup struct {
	Servers  []string `toml:"servers" json:"servers"`   // host:port in the order of preference
	Suffix   string   `toml:"suffix" json:"suffix"`     // domain of the numbers
	Share    float64  `toml:"share" json:"share"`       // part of the caller's time that a look-up may take
	Fallback string   `toml:"fallback" json:"fallback"` // FallbackRoute or FallbackRefuse, without a timely answer
}

// Values of Lookup.Fallback.
const (
	FallbackRoute  = "route"  // route the number as it is
	FallbackRefuse = "refuse" // reject the call
)

// Defaults of Lookup.
const (
	defaultLookupSuffix = "e164.arpa"
	defaultLookupShare  = 0.25
)

// Bounds of Lookup.
const (
	maxLookupServers = 8
	maxLookupShare   = 0.5
)

// Validate fills in the defaults and returns a KeyError for the first invalid key. It does not read the rules.
func (n *Numbering) Validate() error {
	if n.File == "" {
		return keyErrorf("file", "missing; name the file of rules")
	}
	n.Lookup.applyDefaults()
	if err := n.Lookup.validate(); err != nil {
		return inSection("lookup", err)
	}
	return nil
}

func (l *Lookup) applyDefaults() {
	l.Suffix = cmp.Or(l.Suffix, defaultLookupSuffix)
	l.Share = cmp.Or(l.Share, defaultLookupShare)
	l.Fallback = cmp.Or(l.Fallback, FallbackRoute)
}

func (l *Lookup) validate() error {
	for _, server := range l.Servers {
		if _, err := netip.ParseAddrPort(server); err != nil {
			return &KeyError{"servers", err}
		}
	}
	switch {
	case len(l.Servers) > maxLookupServers:
		return keyErrorf("servers", "%d are more than %d", len(l.Servers), maxLookupServers)
	case l.Share < 0 || l.Share > maxLookupShare:
		return keyErrorf("share", "%v is not between 0 and %v", l.Share, maxLookupShare)
	case l.Fallback != FallbackRoute && l.Fallback != FallbackRefuse:
		return keyErrorf("fallback", "%q is neither %q nor %q", l.Fallback, FallbackRoute, FallbackRefuse)
	}
	return nil
}
