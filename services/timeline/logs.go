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

// maxLogLine is the maximum length of a line of a saved log, in bytes.
const maxLogLine = 1 << 20

// logLine is a parsed line of a saved log.
type logLine struct {
	at      time.Time
	message string
	fields  map[string]any
}

// stringField returns a field that is a string, and "" for any other.
func (l logLine) stringField(field string) string {
	text, _ := l.fields[field].(string)
	return text
}

// Logs are saved log lines of one or more boxes.
type Logs struct {
	lines []logLine
	// Unparsed counts the lines that are not JSON log lines of a box.
	Unparsed int
}

// Read adds the lines of one saved log.
func (l *Logs) Read(r io.Reader) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		line, ok := parseLogLine(lines.Bytes())
		if !ok {
			l.Unparsed++
			continue
		}
		l.lines = append(l.lines, line)
	}
	return lines.Err()
}

// parseLogLine parses a JSON line. It ignores everything before the first brace, as log
// collectors put the name of the box there.
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
	at, err := time.Parse(time.RFC3339Nano, line.stringField("time"))
	line.at, line.message = at, line.stringField("msg")
	return line, err == nil && line.message != ""
}

// Request returns the lines of a request, and the lines without a request that name a
// box or a target of these and lie at most the duration around before its first or
// after its last line. They are sorted by time.
func (l *Logs) Request(request string, around time.Duration) []structs.Event {
	return eventsOf(l.linesOf(func(line logLine) bool { return line.stringField("request") == request }, around), "request")
}

// Stream returns the same of all attempts at the stream to which an attempt belongs: the one that
// began it, and those of callers that took it up again.
func (l *Logs) Stream(attempt string, around time.Duration) []structs.Event {
	first := attempt
	for _, line := range l.lines {
		if began := line.stringField(firstAttempt); began != "" && line.stringField("request") == attempt {
			first = began
		}
	}
	return eventsOf(l.linesOf(func(line logLine) bool {
		return line.stringField("request") == first || line.stringField(firstAttempt) == first
	}, around), firstAttempt)
}

// firstAttempt is the field of a line that names the attempt which began the stream.
const firstAttempt = "first_attempt"

// linesOf returns the lines of some requests and those around them, sorted by time.
func (l *Logs) linesOf(isOwn func(logLine) bool, around time.Duration) []logLine {
	var own []logLine
	var first, last time.Time
	met := map[string]bool{}
	for _, line := range l.lines {
		if !isOwn(line) {
			continue
		}
		own = append(own, line)
		if first.IsZero() || line.at.Before(first) {
			first = line.at
		}
		if line.at.After(last) {
			last = line.at
		}
		for _, name := range line.boxAndTargets() {
			met[name] = true
		}
	}
	if len(own) == 0 {
		return nil
	}
	for _, line := range l.lines {
		if line.stringField("request") == "" && !line.at.Before(first.Add(-around)) && !line.at.After(last.Add(around)) && slices.ContainsFunc(line.boxAndTargets(), func(name string) bool { return met[name] }) {
			own = append(own, line)
		}
	}
	sort.SliceStable(own, func(i, j int) bool { return own[i].at.Before(own[j].at) })
	return own
}

// eventsOf converts lines to timeline events without the field that all of them are about.
func eventsOf(lines []logLine, subject string) []structs.Event {
	events := make([]structs.Event, 0, len(lines))
	for _, line := range lines {
		events = append(events, line.event(subject))
	}
	return events
}

// boxAndTargets returns the box and the targets that a line names.
func (l logLine) boxAndTargets() []string {
	names := []string{l.stringField("box")}
	if target := l.stringField("target"); target != "" {
		names = append(names, target)
	}
	targets, _ := l.fields["targets"].([]any)
	for _, t := range targets {
		name, _, _ := strings.Cut(fmt.Sprint(t), " ")
		names = append(names, name)
	}
	return names
}

// event converts a line to a timeline event without the field that names its subject.
func (l logLine) event(subject string) structs.Event {
	var detail []string
	for field, value := range l.fields {
		switch field {
		case "time", "msg", "box", "data_centre", subject:
		default:
			detail = append(detail, fmt.Sprintf("%s=%v", field, value))
		}
	}
	sort.Strings(detail)
	return structs.Event{
		Stamp: hlc.Stamp{Milli: l.at.UnixMilli()}.String(), Box: l.stringField("box"), DataCentre: l.stringField("data_centre"),
		Kind: l.message, Request: l.stringField("request"), Detail: strings.Join(detail, " "),
	}
}
