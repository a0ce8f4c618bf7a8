// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package digest turns keys and bodies into digests, so that neither is kept.
package digest

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
)

// Size is the length of a digest in hexadecimal digits.
const Size = 2 * sha256.Size

// Of returns the hexadecimal SHA-256 digest of parts, each set off from the next.
func Of(parts ...[]byte) string {
	if len(parts) == 1 {
		sum := sha256.Sum256(parts[0])
		return hex.EncodeToString(sum[:])
	}
	h := sha256.New()
	for _, p := range parts {
		sum := sha256.Sum256(p)
		h.Write(sum[:])
	}
	return hex.EncodeToString(h.Sum(nil))
}

// Equal compares two digests in constant time.
func Equal(a, b string) bool {
	return subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1
}

// Valid tells whether a text has the form of a digest.
func Valid(text string) bool {
	if len(text) != Size {
		return false
	}
	_, err := hex.DecodeString(text)
	return err == nil
}
