// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Command havenwinchd is the daemon that runs on every box.
package main

import (
	"context"
	"fmt"
	"os"
	"slices"
)

func main() {
	if slices.Contains(os.Args, forwardName) {
		catchReloads()
	}
	if _, err := loadSettingsFile(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitSettings)
	}
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
