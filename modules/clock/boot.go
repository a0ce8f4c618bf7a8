// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package clock

import (
	"os"
	"strings"
)

// bootIDFile names the machine's present boot on Linux.
const bootIDFile = "/proc/sys/kernel/random/boot_id"

// BootID returns the name of the machine's present boot: times of the boot
// clock can be compared as long as it is the same. Where the system names none,
// otherwise is returned.
func BootID(otherwise string) string {
	data, err := os.ReadFile(bootIDFile)
	id := strings.TrimSpace(string(data))
	if err != nil || id == "" {
		return otherwise
	}
	return id
}
