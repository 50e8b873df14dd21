package transaction

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"olivedale/internal/codec/h248"
)

// digest returns a digest of what a transaction asks for: its contexts, commands, terminations and descriptors. It
// leaves out TerminationState, because a sender may state the remaining time anew when it repeats a transaction.
func digest(t *h248.Transaction) uint64 {
	d := xxhash.New()
	for _, a := range t.Actions {
		writeString(d, a.Context)
		for _, c := range a.Commands {
			writeString(d, c.Name)
			writeString(d, c.Termination)
			writeNodes(d, c.Descriptors)
		}
	}
	return d.Sum64()
}

// writeNodes adds descriptors and session descriptions.
func writeNodes(d *xxhash.Digest, nodes []*h248.Node) {
	for _, n := range nodes {
		if n.Octets != nil {
			writeString(d, string(n.Octets))
		}
		if n.Name == "TerminationState" {
			continue
		}
		writeString(d, n.Name)
		writeString(d, n.Value)
		writeNodes(d, n.Children)
	}
}

// writeString adds a string with its length, so that the boundaries of strings count.
func writeString(d *xxhash.Digest, s string) {
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(s)))
	_, _ = d.Write(length[:])
	_, _ = d.WriteString(s)
}
