// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package clock

import (
	"os"
	"strings"
)

// bootIDFile holds a random identifier on Linux that changes with each boot.
const bootIDFile = "/proc/sys/kernel/random/boot_id"

// BootID returns the identifier of the machine's current boot. Readings of the
// boot clock are comparable only under the same identifier. It returns fallback
// when the system provides none.
func BootID(fallback string) string {
	data, err := os.ReadFile(bootIDFile)
	id := strings.TrimSpace(string(data))
	if err != nil || id == "" {
		return fallback
	}
	return id
}
