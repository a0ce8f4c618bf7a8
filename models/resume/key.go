// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package resume keeps which software began each stream, so that a caller that has lost its box
// can take its stream up at any other one. A record is held by the box that has the stream, by one
// more box of its data centre and by two of others. Rendezvous hashing over the directory of entry
// boxes tells where, so that no box has to ask all others.
package resume

import (
	"crypto/sha256"
	"encoding/binary"
)

// Key identifies a stream in the whole fleet.
type Key [16]byte

// KeyOf returns the key of the stream that a caller's attempt began at a service. The organisation
// is part of it, so that no caller finds a stream of another organisation.
func KeyOf(organisation, service, attempt string) Key {
	h := sha256.New()
	for _, part := range []string{organisation, service, attempt} {
		var length [4]byte
		binary.BigEndian.PutUint32(length[:], uint32(len(part)))
		h.Write(length[:])
		h.Write([]byte(part))
	}
	var k Key
	copy(k[:], h.Sum(nil))
	return k
}

// hash returns the part of the key by which boxes are ranked.
func (k Key) hash() uint64 { return binary.BigEndian.Uint64(k[:]) }
