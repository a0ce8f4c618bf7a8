// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"havenwinch.dev/havenwinch/modules/setting"
)

// version is set by the linker when a release is built.
var version = "0.1.0-dev"

// command returns the daemon's command line. Without a subcommand it runs a box.
func command() *cli.Command {
	settings := &setting.Settings{}
	flags, finish := settings.Flags()
	return &cli.Command{
		Name:    "havenwinchd",
		Usage:   "run a box of the router fleet",
		Version: version,
		Flags:   append(flags, &cli.BoolFlag{Name: "print-settings", Usage: "print the settings in force, without secrets, and exit"}),
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Bool("print-settings") {
				setting.Print(os.Stdout, c)
				return nil
			}
			if err := finish(); err != nil {
				return err
			}
			return run(settings)
		},
		Commands: []*cli.Command{checkCommand(), forwardCommand()},
	}
}

// checkCommand returns the subcommand that checks the settings without starting a box.
func checkCommand() *cli.Command {
	settings := &setting.Settings{}
	flags, finish := settings.Flags()
	return &cli.Command{
		Name:  "check",
		Usage: "check the settings and exit",
		Flags: flags,
		Action: func(context.Context, *cli.Command) error {
			if err := finish(); err != nil {
				return err
			}
			fmt.Println("the settings are sound")
			return nil
		},
	}
}
