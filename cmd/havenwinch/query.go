// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"fmt"
	"os"
	"strings"

	"github.com/urfave/cli/v3"
)

// queryCommand returns the subcommand that runs a query of the language.
func queryCommand() *cli.Command {
	return &cli.Command{
		Name:        "query",
		Usage:       "run a query",
		ArgsUsage:   "TEXT",
		Description: languageHelp,
		Action: func(_ context.Context, c *cli.Command) error {
			result, err := newClient(c).query(strings.Join(c.Args().Slice(), " "))
			if err != nil {
				return err
			}
			if c.String("output") == "json" {
				printJSON(os.Stdout, result)
				return nil
			}
			printTable(result.Columns, result.Rows)
			fmt.Printf("revision %d\n", result.Revision)
			return nil
		},
	}
}
