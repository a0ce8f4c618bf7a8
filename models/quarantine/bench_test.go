// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package quarantine

import "testing"

// BenchmarkOf computes the digest of a call of typical size, as is done once per call.
func BenchmarkOf(b *testing.B) {
	body := make([]byte, 800)
	b.ReportAllocs()
	for b.Loop() {
		_ = DigestOf("organisation", "POST", "/captions/96/e18c?page=14", body)
	}
}
