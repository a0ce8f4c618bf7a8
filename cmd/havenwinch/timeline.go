// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"fmt"
	"net/url"
	"os"

	"github.com/urfave/cli/v3"
	"github.com/valyala/fasthttp"

	"havenwinch.dev/havenwinch/services/timeline"
	"havenwinch.dev/havenwinch/structs"
)

// timelineCommand merges the events of all boxes in their causal order.
func timelineCommand() *cli.Command {
	return &cli.Command{
		Name:  "timeline",
		Usage: "show the events of all boxes in their causal order",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "request", Usage: "only events of this request id"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			events, missing := gather(newClient(c), c.String("request"))
			for _, m := range missing {
				fmt.Fprintln(os.Stderr, "missing:", m)
			}
			if c.String("output") == "json" {
				printJSON(os.Stdout, events)
				return nil
			}
			var rows [][]string
			for _, e := range events {
				rows = append(rows, []string{e.Stamp, e.DataCentre, e.Box, e.Kind, e.Detail})
			}
			printTable([]string{"stamp", "data_centre", "box", "event", "detail"}, rows)
			return nil
		},
	}
}

// gather asks every box; one that can't be reached is named, not waited for.
func gather(cl *client, request string) ([]structs.Event, []error) {
	var all []structs.Event
	var missing []error
	for _, box := range cl.boxes {
		var events []structs.Event
		if err := cl.do(box, fasthttp.MethodGet, "/admin/v1/events?request="+url.QueryEscape(request), nil, &events); err != nil {
			missing = append(missing, err)
			continue
		}
		all = append(all, events...)
	}
	timeline.Sort(all)
	return all, missing
}
