// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package seeded fixes the seed of random tests, so that a run gives the same
// verdict every time. With HAVENWINCH_FUZZ set the seeds are free.
package seeded

import (
	"flag"
	"os"
	"testing"
)

// Main runs a package's tests; call it from TestMain.
func Main(m *testing.M) {
	flag.Parse()
	if os.Getenv("HAVENWINCH_FUZZ") == "" {
		set("rapid.seed", "20261202")
		set("rapid.nofailfile", "true")
	}
	os.Exit(m.Run())
}

func set(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
