// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"fmt"
	"slices"

	"github.com/urfave/cli/v3"

	"havenwinch.dev/havenwinch/modules/setting"
	"havenwinch.dev/havenwinch/platform"
)

const forwardName = "forward"

// forwardCommand runs a box that passes calls through on the users' platform.
func forwardCommand() *cli.Command {
	settings := &setting.Forward{}
	flags, finish := settings.Flags()
	return &cli.Command{
		Name:  forwardName,
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
// the flags are read; undo takes it back.
func loadSettingsFile() (undo func(), err error) {
	path := platform.SettingsFile()
	if path == "" {
		return func() {}, nil
	}
	return setting.LoadFile(path)
}

// forwardArgs returns the flags with which the forward command was started.
func forwardArgs(line []string) []string {
	at := slices.Index(line, forwardName)
	return line[at+1:]
}
