package testutil

import (
	"bytes"
	"math/rand/v2"
)

// SplitRandomly splits a text into pieces of 1 to maxSize bytes, as a connection may deliver it. The seed determines
// the sizes.
func SplitRandomly(seed uint64, text []byte, maxSize int) (pieces [][]byte) {
	rng := rand.New(rand.NewPCG(seed, 0))
	for len(text) > 0 {
		n := 1 + rng.IntN(min(len(text), maxSize))
		pieces = append(pieces, bytes.Clone(text[:n]))
		text = text[n:]
	}
	return pieces
}
