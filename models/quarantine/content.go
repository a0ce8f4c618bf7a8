// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package quarantine decides which calls are held back because targets end (crash or
// restart) while they run them. A caller that gets no answer sends its call again,
// under a new id and to any box. If the call itself ends the target that begins to run
// it, every retry costs another target with all other calls that run there.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Digest is the digest by which two calls count as the same: the first 128 bits of a
// SHA-256, so that nobody can forge a call with the digest of another one.
type Digest [16]byte

// DigestOf returns the digest of a call's payer, method, path and body. Payer, method and
// path are prefixed with their lengths, so that different calls can't yield the same
// input.
func DigestOf(payer, method, path string, body []byte) Digest {
	h := sha256.New()
	var length [8]byte
	for _, part := range []string{payer, method, path} {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = h.Write(length[:])
		_, _ = h.Write([]byte(part))
	}
	_, _ = h.Write(body)
	var c Digest
	copy(c[:], h.Sum(nil))
	return c
}

// DigestOfPart returns the digest of a part of a prompt, which differs from that of any call. It is the
// same for all services, since a fatal part ends the targets of each of them.
func DigestOfPart(part string) Digest {
	var buffer [128]byte
	sum := sha256.Sum256(append(append(buffer[:0], partLabel...), part...))
	return Digest(sum[:len(Digest{})])
}

// partLabel begins what is digested of a part. No call begins so: its first bytes are the length of
// its payer's name.
const partLabel = "part of a prompt\x00"

// ParseDigest returns the digest in data; ok is false if data has the wrong length.
func ParseDigest(data []byte) (c Digest, ok bool) {
	if len(data) != len(c) {
		return c, false
	}
	copy(c[:], data)
	return c, true
}

// String returns the digest in hexadecimal, for logs.
func (c Digest) String() string { return hex.EncodeToString(c[:]) }
