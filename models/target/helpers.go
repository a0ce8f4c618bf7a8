// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package target

import (
	"slices"
	"sort"
)

func equalStrings(a, b []string) bool { return slices.Equal(a, b) }

func sortedNames(table map[string]*Target) []string {
	names := make([]string, 0, len(table))
	for name := range table {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
