// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"havenwinch.dev/havenwinch/modules/setting"
	"havenwinch.dev/havenwinch/platform"
)

// forwardCommand runs a box that passes calls through on the users' platform.
func forwardCommand() *cli.Command {
	settings := &setting.Forward{}
	flags, finish := settings.Flags()
	return &cli.Command{
		Name:  "forward",
		Usage: "run a box that passes calls through: an entry box or a control box",
		Flags: append(flags, &cli.BoolFlag{Name: "check", Usage: "check the settings and exit"}),
		Action: func(ctx context.Context, c *cli.Command) error {
			if err := finish(); err != nil {
				return cli.Exit(err.Error(), exitSettings)
			}
			if c.Bool("check") {
				fmt.Println("the settings are sound")
				return nil
			}
			return runForward(ctx, settings)
		},
	}
}

// exitSettings is the exit code of a process whose settings are wrong.
const exitSettings = 2

// loadSettingsFile takes in the settings file that the platform lays, before
// the flags are read.
func loadSettingsFile() error {
	path := platform.SettingsFile()
	if path == "" {
		return nil
	}
	if err := setting.LoadFile(path); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return err
	}
	return nil
}
