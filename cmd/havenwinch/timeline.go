// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"fmt"
	"net/url"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
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
			&cli.StringSliceFlag{Name: "logs", Usage: "read saved logs in place of asking boxes: files or patterns; needs --request"},
			&cli.DurationFlag{Name: "around", Value: defaultAround, Usage: "with --logs: also what the boxes and targets of the request said within this time of it"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			events, missing, err := timelineOf(c)
			if err != nil {
				return err
			}
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

// defaultAround is the time around a request of which saved logs are shown.
const defaultAround = 3 * time.Second

// timelineOf reads events from boxes or from saved logs.
func timelineOf(c *cli.Command) (events []structs.Event, missing []error, err error) {
	if patterns := c.StringSlice("logs"); len(patterns) > 0 {
		return fromLogs(patterns, c.String("request"), c.Duration("around"))
	}
	events, missing = gather(newClient(c), c.String("request"))
	return events, missing, nil
}

// fromLogs joins the lines of saved logs that belong to a request.
func fromLogs(patterns []string, request string, around time.Duration) (events []structs.Event, missing []error, err error) {
	if request == "" {
		return nil, nil, errors.New("--logs needs --request: name the id of a request")
	}
	logs := &timeline.Logs{}
	for _, pattern := range patterns {
		files, err := filepath.Glob(pattern)
		if err != nil || len(files) == 0 {
			return nil, nil, errors.Errorf("--logs %s names no file: name files or a pattern", pattern)
		}
		for _, name := range files {
			if err := readLog(logs, name); err != nil {
				return nil, nil, err
			}
		}
	}
	if logs.Unparsed > 0 {
		missing = append(missing, errors.Errorf("%d lines are no log lines of a box", logs.Unparsed))
	}
	events = logs.Request(request, around)
	if len(events) == 0 {
		return nil, missing, errors.Errorf("no line of the logs names request %s: check the id, and whether lines were left out", request)
	}
	return events, missing, nil
}

func readLog(logs *timeline.Logs, name string) error {
	f, err := os.Open(name)
	if err != nil {
		return errors.Wrap(err, "--logs")
	}
	defer f.Close()
	return errors.Wrapf(logs.Read(f), "--logs %s", name)
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
