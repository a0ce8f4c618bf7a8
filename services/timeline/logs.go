// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package timeline

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"
	"time"

	"havenwinch.dev/havenwinch/modules/hlc"
	"havenwinch.dev/havenwinch/structs"
)

// maxLogLine bounds a line of a saved log, in bytes.
const maxLogLine = 1 << 20

// logLine is a line of a saved log with the fields that all lines have.
type logLine struct {
	at      time.Time
	message string
	fields  map[string]any
}

func (l logLine) text(field string) string {
	text, _ := l.fields[field].(string)
	return text
}

// Logs are saved log lines of any boxes.
type Logs struct {
	lines []logLine
	// Unread counts lines that are no JSON lines of a box.
	Unread int
}

// Read adds the lines of one saved log.
func (l *Logs) Read(r io.Reader) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		line, ok := parseLogLine(lines.Bytes())
		if !ok {
			l.Unread++
			continue
		}
		l.lines = append(l.lines, line)
	}
	return lines.Err()
}

// parseLogLine reads a JSON line; what stands before the first brace is passed
// over, as collectors of logs put a box's name there.
func parseLogLine(data []byte) (logLine, bool) {
	text := string(data)
	begin := strings.IndexByte(text, '{')
	if begin < 0 {
		return logLine{}, false
	}
	line := logLine{}
	if json.Unmarshal([]byte(text[begin:]), &line.fields) != nil {
		return logLine{}, false
	}
	at, err := time.Parse(time.RFC3339Nano, line.text("time"))
	line.at, line.message = at, line.text("msg")
	return line, err == nil && line.message != ""
}

// Request returns the lines of a request in the order of their time, and of the
// boxes and targets that it met those lines within a time around it that belong
// to no other request.
func (l *Logs) Request(request string, around time.Duration) []structs.Event {
	var own []logLine
	var first, last time.Time
	met := map[string]bool{}
	for _, line := range l.lines {
		if line.text("request") != request {
			continue
		}
		own = append(own, line)
		if first.IsZero() || line.at.Before(first) {
			first = line.at
		}
		if line.at.After(last) {
			last = line.at
		}
		for _, name := range line.names() {
			met[name] = true
		}
	}
	if len(own) == 0 {
		return nil
	}
	for _, line := range l.lines {
		if line.text("request") == "" && !line.at.Before(first.Add(-around)) && !line.at.After(last.Add(around)) && slices.ContainsFunc(line.names(), func(name string) bool { return met[name] }) {
			own = append(own, line)
		}
	}
	sort.SliceStable(own, func(i, j int) bool { return own[i].at.Before(own[j].at) })
	events := make([]structs.Event, 0, len(own))
	for _, line := range own {
		events = append(events, line.event())
	}
	return events
}

// names returns the box and the targets of a line.
func (l logLine) names() []string {
	names := []string{l.text("box")}
	if target := l.text("target"); target != "" {
		names = append(names, target)
	}
	targets, _ := l.fields["targets"].([]any)
	for _, t := range targets {
		name, _, _ := strings.Cut(fmt.Sprint(t), " ")
		names = append(names, name)
	}
	return names
}

// event returns a line as an event of a time line.
func (l logLine) event() structs.Event {
	var detail []string
	for field, value := range l.fields {
		switch field {
		case "time", "msg", "box", "data_centre", "request":
		default:
			detail = append(detail, fmt.Sprintf("%s=%v", field, value))
		}
	}
	sort.Strings(detail)
	return structs.Event{
		Stamp: hlc.Stamp{Milli: l.at.UnixMilli()}.String(), Box: l.text("box"), DataCentre: l.text("data_centre"),
		Kind: l.message, Request: l.text("request"), Detail: strings.Join(detail, " "),
	}
}
