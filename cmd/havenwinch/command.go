// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"havenwinch.dev/havenwinch/modules/setting"
	"havenwinch.dev/havenwinch/structs"
)

// languageHelp is the description of the language in the help texts.
const languageHelp = `Commands:
  create organisation NAME share N
  set organisation NAME share N
  create budget ORG/NAME tokens N
  grant N to ORG/NAME             reduce N from ORG/NAME
  create group ORG/NAME budget ORG/NAME [models A,B] [services S]
        [priority batch|interactive] [default-tokens N]
  set group ORG/NAME budget ORG/NAME [...]
  add key DIGEST to ORG/NAME      remove key DIGEST from ORG/NAME
  drain box|target|data-centre NAME
  undrain box|target|data-centre NAME
  rollout NAME = VALUE            order TARGET load MODEL:VERSION
  order TARGET role NAME

Queries:
  show organisations|groups|budgets|allotments|keepers|drains|rollouts|
       revision|commands|keys|orders|
       targets|software
       [where COLUMN = VALUE [and ...]] [by COLUMN] [limit N]

Exit codes: 0 done, 1 wrong use, 2 refused, 3 outcome unknown (send it again
under the same number), 4 no box can be reached.`

// env returns the environment variable that sets a flag.
func env(name string) cli.ValueSourceChain { return cli.EnvVars(setting.EnvironmentName(name)) }

// command returns the tool's command line.
func command() *cli.Command {
	return &cli.Command{
		Name:                  "havenwinch",
		Usage:                 "operate a router fleet, or call it",
		Description:           languageHelp,
		EnableShellCompletion: true,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "admin", Usage: "addresses of boxes' admin listeners, separated by commas", Value: []string{"127.0.0.1:7001"}, Sources: env("admin")},
			&cli.StringFlag{Name: "operator-key", Usage: "key of an operator", Sources: env("operator-key")},
			&cli.StringFlag{Name: "output", Usage: "table or json", Value: "table", Sources: env("output")},
		},
		Commands: []*cli.Command{queryCommand(), commandCommand(), evacuateCommand(), timelineCommand(), statusCommand(), sendCommand(), keyCommand()},
	}
}

// commandCommand returns the subcommand that sends a command of the language.
func commandCommand() *cli.Command {
	return &cli.Command{
		Name:        "command",
		Usage:       "send a command",
		ArgsUsage:   "TEXT",
		Description: languageHelp,
		Flags: []cli.Flag{
			numberFlag(),
			&cli.Uint64Flag{Name: "if-revision", Usage: "only take effect at this revision"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			return sendCommandText(c, strings.Join(c.Args().Slice(), " "), c.Uint64("if-revision"))
		},
	}
}

// numberFlag returns the flag that sendCommandText reads.
func numberFlag() cli.Flag {
	return &cli.Uint64Flag{Name: "number", Usage: "number of the command, the same when it is sent again (default: from the time)"}
}

// sendCommandText sends a command of the language and prints its result.
func sendCommandText(c *cli.Command, text string, expectRevision uint64) error {
	number := c.Uint64("number")
	if number == 0 {
		number = uint64(time.Now().UnixMicro())
	}
	result, err := newClient(c).command(structs.Command{Number: number, Text: text, ExpectRevision: expectRevision})
	if err != nil {
		return err
	}
	if c.String("output") == "json" {
		printJSON(os.Stdout, result)
	} else {
		fmt.Printf("%s (number %d, revision %d)\n", result.Message, result.Number, result.Revision)
	}
	if result.Refusal != "" {
		return &failure{code: exitRefused, message: "refused: " + result.Refusal}
	}
	return nil
}

// evacuateCommand returns the subcommand that evacuates a data centre: its targets receive
// no new requests until the evacuation ends.
func evacuateCommand() *cli.Command {
	return &cli.Command{
		Name:      "evacuate",
		Usage:     "send nothing more to the targets of a data centre, or end that; show drains lists what is in force",
		ArgsUsage: "DATA-CENTRE",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "end", Usage: "end the evacuation: the targets receive requests again"},
			numberFlag(),
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() != 1 {
				return &failure{code: exitError, message: "name one data centre, as havenwinch evacuate dc-a"}
			}
			verb := "drain"
			if c.Bool("end") {
				verb = "undrain"
			}
			return sendCommandText(c, verb+" data-centre "+c.Args().First(), 0)
		},
	}
}
