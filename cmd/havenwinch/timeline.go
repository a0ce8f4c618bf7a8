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

// timelineCommand returns the subcommand that merges the events of all boxes in causal
// order.
func timelineCommand() *cli.Command {
	return &cli.Command{
		Name:  "timeline",
		Usage: "show the events of all boxes in causal order",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "request", Usage: "show only events of the request with this ID"},
			&cli.StringFlag{Name: "stream", Usage: "show only events of the stream that the attempt with this ID began or took up, over all its attempts; needs --logs"},
			&cli.StringSliceFlag{Name: "logs", Usage: "read saved logs instead of asking the boxes: files or patterns; needs --request or --stream"},
			&cli.DurationFlag{Name: "around", Value: defaultAround, Usage: "with --logs: also show lines about the request's boxes and targets within this time of the request"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			events, missing, err := readTimeline(c)
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

// defaultAround is how long before and after a request saved logs are shown.
const defaultAround = 3 * time.Second

// readTimeline returns events of the boxes or of saved logs, and errors for what is
// missing.
func readTimeline(c *cli.Command) (events []structs.Event, missing []error, err error) {
	if patterns := c.StringSlice("logs"); len(patterns) > 0 {
		return eventsFromLogs(patterns, c.String("request"), c.String("stream"), c.Duration("around"))
	}
	if c.String("stream") != "" {
		return nil, nil, errors.New("--stream needs --logs: name the saved logs of the boxes")
	}
	events, missing = collectEvents(newClient(c), c.String("request"))
	return events, missing, nil
}

// eventsFromLogs merges the lines of saved logs that concern a request, or the stream of an attempt.
func eventsFromLogs(patterns []string, request, stream string, around time.Duration) (events []structs.Event, missing []error, err error) {
	if (request == "") == (stream == "") {
		return nil, nil, errors.New("--logs needs --request or --stream: name the id of a request or of an attempt at a stream")
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
	id, find := request, logs.Request
	if stream != "" {
		id, find = stream, logs.Stream
	}
	if events = find(id, around); len(events) == 0 {
		return nil, missing, errors.Errorf("no line of the logs names request %s: check the id, and whether lines were left out", id)
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

// collectEvents asks every box for its events. It returns an error for each box that
// doesn't answer, together with the events of the others.
func collectEvents(cl *client, request string) ([]structs.Event, []error) {
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
