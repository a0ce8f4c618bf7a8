// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package soak

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// nearDeadline is the share of a request's time from which on it has been held to its deadline.
const nearDeadline = 0.95

var (
	targetName = regexp.MustCompile(`^\S+ `)
	number     = regexp.MustCompile(`[0-9]+`)
)

// requestLine is what a box's log says about a request.
type requestLine struct {
	Message         string   `json:"msg"`
	Request         string   `json:"request"`
	Outcome         string   `json:"outcome"`
	Targets         []string `json:"targets"`
	NoFurtherTarget string   `json:"no_further_target"`
	// text is the whole line.
	text string
}

// requestLines returns the lines about requests in a box's log.
func requestLines(log string) map[string]requestLine {
	lines := map[string]requestLine{}
	for text := range strings.Lines(log) {
		var l requestLine
		if strings.Contains(text, `"msg":"request `) && json.Unmarshal([]byte(text), &l) == nil {
			l.text = strings.TrimSpace(text)
			lines[l.Request] = l
		}
	}
	return lines
}

// requestLogs has the lines about requests by box.
type requestLogs map[string]map[string]requestLine

// line returns the line about a request.
func (l requestLogs) line(tb *testbed, r keptRequest) (requestLine, bool) {
	if l[r.box] == nil {
		l[r.box] = requestLines(tb.logOf(r.box))
	}
	line, ok := l[r.box][r.id]
	return line, ok
}

// outcomes counts requests by what their callers saw and what the boxes' logs say about them. It has the
// line about the first one of each kind that was cut.
func (tb *testbed) outcomes(t *testing.T, requests []keptRequest) string {
	logs, counts, lines := requestLogs{}, map[string]int{}, map[string]string{}
	for _, r := range requests {
		l, isLogged := logs.line(tb, r)
		kind := fmt.Sprintf("%d, complete", r.status)
		if !r.complete {
			kind = fmt.Sprintf("%d, cut, %s", r.status, r.route)
			if r.isBehind {
				kind += ", behind the end of another one"
			}
			if tb.boxNamed(t, r.box).wasDown(r.sentAt, r.endedAt) {
				kind += ", box down"
			}
		}
		switch share := r.endedAt.Sub(r.sentAt).Seconds() / r.deadline.Seconds(); {
		case share >= nearDeadline:
			kind += fmt.Sprintf(", at its deadline of %s", r.deadline)
		case share >= lateShare:
			kind += fmt.Sprintf(", late in its %s", r.deadline)
		}
		if isLogged && (!r.complete || r.status != http.StatusOK) {
			kind += ": " + l.Outcome
			for _, target := range l.Targets {
				kind += ", " + number.ReplaceAllString(targetName.ReplaceAllString(target, ""), "N")
			}
			if l.NoFurtherTarget != "" {
				kind += " (" + l.NoFurtherTarget + ")"
			}
		}
		counts[kind]++
		if !r.complete && lines[kind] == "" {
			lines[kind] = l.text
		}
	}
	var b strings.Builder
	for _, kind := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(&b, "%6d  %s\n", counts[kind], kind)
		if lines[kind] != "" {
			fmt.Fprintf(&b, "        %s\n", lines[kind])
		}
	}
	return b.String()
}

// repeated returns descriptions of the requests that may not be repeated and that ran twice, or that
// ran although they were refused.
func (tb *testbed) repeated(requests []keptRequest) []string {
	var list []string
	for _, r := range requests {
		runs := tb.platform.runCount(r.id)
		if r.route != "stream/once" && r.route != "plain/unsafe" || runs == 0 {
			continue
		}
		isRefused := r.complete && slices.Contains([]int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout}, r.status)
		if runs > 1 || isRefused {
			list = append(list, fmt.Sprintf("request %s (%s) at %s ran %d times, status %d", r.id, r.route, r.box, runs, r.status))
		}
	}
	return list
}
