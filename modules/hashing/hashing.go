// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package hashing provides the bit mixer that rendezvous hashing applies to hashes
// of names.
package hashing

// Mix distributes the entropy of a hash over all its bits. It is the 64-bit
// finalizer of MurmurHash3.
func Mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
