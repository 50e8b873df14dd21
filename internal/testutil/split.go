package testutil

import (
	"bytes"
	"math/rand/v2"
)

// SplitRandomly splits a text into pieces of 1 to maxSize bytes, to simulate the reads from a stream connection. The
// seed determines the sizes.
func SplitRandomly(seed uint64, text []byte, maxSize int) (pieces [][]byte) {
	rng := rand.New(rand.NewPCG(seed, 0))
	for len(text) > 0 {
		n := 1 + rng.IntN(min(len(text), maxSize))
		pieces = append(pieces, bytes.Clone(text[:n]))
		text = text[n:]
	}
	return pieces
}

// FeedAll passes pieces of a stream to the Feed method of a framer until one returns an error, and returns the messages
// that it delivered.
func FeedAll[M any](feed func(piece []byte, deliver func(M) bool) error, pieces ...[]byte) (messages []M, err error) {
	for _, piece := range pieces {
		err = feed(piece, func(m M) bool {
			messages = append(messages, m)
			return true
		})
		if err != nil {
			break
		}
	}
	return messages, err
}
