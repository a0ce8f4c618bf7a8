// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package seeded sets a fixed seed for randomised tests, so that their results are
// reproducible. If HAVENWINCH_FUZZ is set, seeds are random.
package seeded

import (
	"flag"
	"os"
	"testing"
)

// Main runs the tests of a package and exits. Call it from TestMain.
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
