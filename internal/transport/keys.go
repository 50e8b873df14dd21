package transport

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"strings"
)

// SignatureBytes is the length of a signature: HMAC-SHA-256 (RFC 2104), truncated to 128 bits (RFC 2104, section 5).
const SignatureBytes = 16

// Limits on keys.
const (
	maxKeys     = 2
	minKeyBytes = 16
)

// CheckKeys returns an error if there are too many keys or one is too short.
func CheckKeys(keys [][]byte) error {
	if len(keys) > maxKeys {
		return fmt.Errorf("%d keys, at most %d are allowed: the signing key and its predecessor or successor",
			len(keys), maxKeys)
	}
	for i, key := range keys {
		if len(key) < minKeyBytes {
			return fmt.Errorf("key %d has %d bytes, at least %d are required", i+1, len(key), minKeyBytes)
		}
	}
	return nil
}

// LoadKeys reads keys from a file with one hexadecimal key per line, the signing key first. Text after a # is a
// comment.
func LoadKeys(path string) ([][]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	keys, err := parseKeys(string(text))
	if err == nil {
		err = CheckKeys(keys)
	}
	if err != nil {
		return nil, fmt.Errorf("keys: %s: %w", path, err)
	}
	return keys, nil
}

// parseKeys parses the text of a key file, which must contain at least one key.
func parseKeys(text string) ([][]byte, error) {
	var keys [][]byte
	for i, line := range strings.Split(text, "\n") {
		digits, _, _ := strings.Cut(line, "#")
		digits = strings.TrimSpace(digits)
		if digits == "" {
			continue
		}
		key, err := hex.DecodeString(digits)
		if err != nil { // not wrapped, as its text would reveal a part of the key
			return nil, fmt.Errorf("line %d is not hexadecimal", i+1)
		}
		keys = append(keys, key)
	}
	if len(keys) == 0 {
		return nil, fmt.Errorf("no key found: add one of at least %d hexadecimal digits", 2*minKeyBytes)
	}
	return keys, nil
}

// A keyring holds the active keys: the first one signs, any of them verifies. An empty keyring signs nothing.
type keyring [][]byte

// sign returns the payload followed by its signature, or just the payload if there are no keys.
func (k keyring) sign(payload []byte) []byte {
	if len(k) == 0 {
		return payload
	}
	signed := make([]byte, 0, len(payload)+SignatureBytes)
	signed = append(signed, payload...)
	return append(signed, sign(k[0], payload)...)
}

// verify returns the payload of a signed datagram and whether its signature is valid.
func (k keyring) verify(datagram []byte) (payload []byte, isValid bool) {
	length := len(datagram) - SignatureBytes
	if length < 0 {
		return nil, false
	}
	payload, signature := datagram[:length], datagram[length:]
	for _, key := range k {
		if hmac.Equal(sign(key, payload), signature) {
			return payload, true
		}
	}
	return nil, false
}

// sign returns the signature of a payload.
func sign(key, payload []byte) []byte {
	mac := hmac.New(sha256.New, key)
	_, _ = mac.Write(payload) // never fails
	return mac.Sum(nil)[:SignatureBytes]
}
