// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package seeded sets a fixed seed for randomised tests, so that their results are
// reproducible. If HAVENWINCH_FUZZ is set, seeds are random.
package seeded

import (
	"flag"
	"os"
	"strconv"
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

// Schedules returns how many random schedules a test plays: HAVENWINCH_SCHEDULES if it is set, else n.
func Schedules(t *testing.T, n int) int {
	t.Helper()
	text := os.Getenv("HAVENWINCH_SCHEDULES")
	if text == "" {
		return n
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 {
		t.Fatalf("HAVENWINCH_SCHEDULES=%q: want a positive number of schedules", text)
	}
	return n
}

func set(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
