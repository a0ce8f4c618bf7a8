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

// forwardCommand returns the subcommand for boxes that forward calls on the users'
// platform.
func forwardCommand() *cli.Command {
	settings := &setting.Forward{}
	flags, finish := settings.Flags()
	return &cli.Command{
		Name:  forwardName,
		Usage: "run a box that forwards calls: an entry box or a control box",
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

// exitSettings is the exit code for invalid settings.
const exitSettings = 2

// loadSettingsFile loads the platform's settings file into the environment. It has to
// run before the flags are parsed. undo restores the environment.
func loadSettingsFile() (undo func(), err error) {
	path := platform.SettingsFile()
	if path == "" {
		return func() {}, nil
	}
	return setting.LoadFile(path)
}

// forwardArgs returns the arguments after the forward subcommand.
func forwardArgs(line []string) []string {
	at := slices.Index(line, forwardName)
	return line[at+1:]
}
