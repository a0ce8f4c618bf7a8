// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package digest computes the digests under which access keys and request bodies
// are stored, so that they need not be stored themselves.
package digest

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
)

// Size is the length of a digest, in hexadecimal digits.
const Size = 2 * sha256.Size

// Of returns a hexadecimal SHA-256 digest. For several parts it is the digest of
// their digests, so that it also depends on where the parts are divided.
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

// Valid reports whether text has the length and the digits of a digest.
func Valid(text string) bool {
	if len(text) != Size {
		return false
	}
	_, err := hex.DecodeString(text)
	return err == nil
}
