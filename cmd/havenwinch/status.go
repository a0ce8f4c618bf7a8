// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"
	"github.com/valyala/fasthttp"

	"havenwinch.dev/havenwinch/structs"
)

// statusCommand returns the subcommand that shows the state of every box.
func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show the state of every box",
		Action: func(_ context.Context, c *cli.Command) error {
			cl := newClient(c)
			var list []structs.BoxStatus
			unreachable := 0
			for _, box := range cl.boxes {
				var s structs.BoxStatus
				if err := cl.do(box, fasthttp.MethodGet, "/admin/v1/status", nil, &s); err != nil {
					fmt.Fprintln(os.Stderr, "missing:", err)
					unreachable++
					continue
				}
				list = append(list, s)
			}
			if c.String("output") == "json" {
				printJSON(os.Stdout, list)
			} else {
				printStatus(list)
			}
			if unreachable > 0 {
				return &failure{code: exitUnreachable, message: fmt.Sprintf("%d boxes can't be reached or refused the query", unreachable)}
			}
			return nil
		},
	}
}

func printStatus(list []structs.BoxStatus) {
	var rows [][]string
	for _, s := range list {
		ready := "yes"
		if !s.Ready {
			ready = "no: " + s.Reason
		}
		control, queued, running, open := "-", "-", "-", "-"
		if s.Control != nil {
			control = fmt.Sprintf("%s, term %d", s.Control.Role, s.Control.Term)
		}
		if s.Entry != nil {
			queued, running = strconv.Itoa(s.Entry.Queued), strconv.Itoa(s.Entry.Running)
		}
		if s.Keeper != nil {
			open = strconv.Itoa(s.Keeper.Open)
		}
		rows = append(rows, []string{s.Box, s.DataCentre, strings.Join(s.Roles, ","), ready, strconv.FormatUint(s.Revision, 10), control, running, queued, open})
	}
	printTable([]string{"box", "data_centre", "roles", "ready", "revision", "control", "running", "queued", "reserved"}, rows)
}
