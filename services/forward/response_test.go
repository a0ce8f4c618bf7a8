// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"fmt"
	"strings"

	"pgregory.net/rapid"
)

// corruptMark replaces a byte that a target corrupts; no valid answer contains it.
const corruptMark = '~'

// eventsOfCall is the number of events in the complete answer to a call.
const eventsOfCall = 5

// response describes how a target answers one request.
type response struct {
	// status is the status of the answer; 200 answers the call.
	status int
	// notRun adds a header field; unsigned and noID leave theirs out. strayFirst sends an
	// answer to another call first.
	notRun, unsigned, noID, strayFirst bool
	// unframed omits the length of the body.
	unframed bool
	// interim sends an interim answer before the header.
	interim bool
	// cutAt and corruptAt are where the answer is cut off or corrupted, in thousandths of its
	// length; negative for nowhere. inserted is bytes that are inserted after the first event.
	cutAt, corruptAt int
	inserted         string
	// repeated is how much of the answer is sent a second time, in thousandths; late delays
	// that until the next request has arrived.
	repeated int
	late     bool
	// close closes the connection after the answer.
	close bool
	// writeSize is the number of bytes per write.
	writeSize int
}

// drawResponse draws a response. Most are valid so that calls make progress.
func drawResponse(t *rapid.T, name string) response {
	rarely := func(what string) bool { return rapid.IntRange(0, 6).Draw(t, name+" "+what) == 0 }
	a := response{status: 200, cutAt: -1, corruptAt: -1, writeSize: rapid.SampledFrom([]int{1 << 20, 7, 40}).Draw(t, name+" write size")}
	if rarely("fails") {
		a.status = rapid.SampledFrom([]int{204, 302, 400, 404, 409, 413, 421, 429, 500, 502, 503, 504}).Draw(t, name+" status")
		a.notRun = a.status >= 421 && rarely("not run")
	}
	a.unsigned, a.noID, a.strayFirst, a.interim = rarely("unsigned"), rarely("no id"), rarely("stray"), rarely("interim")
	a.unframed, a.close = rarely("unframed"), rarely("close")
	if rarely("cut") || rarely("cut again") {
		a.cutAt = rapid.IntRange(0, 999).Draw(t, name+" cut at")
	}
	if rarely("corrupt") {
		a.corruptAt = rapid.IntRange(0, 999).Draw(t, name+" corrupt at")
	}
	if rarely("inserted bytes") {
		a.inserted = rapid.SampledFrom([]string{"data: x\n\n", "id: x\ndata: y\n\n", "HTTP/1.1 200 OK\nA: b\n\n", ": c\n\n", "id: 0\ndata: z\n\n"}).Draw(t, name+" inserted")
	}
	// Bytes after an answer without a length are part of it.
	if !a.unframed && rarely("repeated") {
		a.repeated = rapid.IntRange(1, 1000).Draw(t, name+" repeated part")
		a.late = rapid.Bool().Draw(t, name+" late")
	}
	return a
}

// text returns the answer to a request; a stream starts after the last event that the caller
// has.
func (a response) text(r received, stream bool) string {
	var b strings.Builder
	if a.strayFirst {
		b.WriteString("HTTP/1.1 200 OK\r\nX-Signed: s\r\nX-Id: other\r\nContent-Length: 5\r\n\r\nwrong")
	}
	if a.interim {
		b.WriteString("HTTP/1.1 103 X\r\nA: b\r\n\r\n")
	}
	fmt.Fprintf(&b, "HTTP/1.1 %d X\r\n", a.status)
	if !a.unsigned {
		b.WriteString("X-Signed: s\r\n")
	}
	if !a.noID {
		b.WriteString("X-Id: " + r.id + "\r\n")
	}
	if a.notRun {
		b.WriteString("X-Not-Run: 1\r\n")
	}
	var parts []string
	switch {
	case a.status == 204:
	case a.status != 200:
		parts = []string{fmt.Sprintf("failure %d of %s", a.status, r.id)}
	case stream:
		parts = eventsAfter(r)
		if a.inserted != "" && len(parts) > 0 {
			parts = append(parts[:1:1], append([]string{a.inserted}, parts[1:]...)...)
		}
	default:
		parts = []string{"answer to " + r.id}
	}
	switch {
	case a.unframed || a.status == 204:
		b.WriteString("\r\n" + strings.Join(parts, ""))
	case stream && a.status == 200:
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		for _, p := range parts {
			fmt.Fprintf(&b, "%x\r\n%s\r\n", len(p), p)
		}
		b.WriteString("0\r\n\r\n")
	default:
		body := strings.Join(parts, "")
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	}
	return b.String()
}

// eventsAfter returns the events of a call after the one its caller has.
func eventsAfter(r received) []string {
	first := 0
	if r.last != "" {
		_, _ = fmt.Sscan(r.last, &first)
		first++
	}
	var list []string
	for n := first; n < eventsOfCall; n++ {
		list = append(list, eventOf(r.id, n))
	}
	return list
}

func eventOf(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s event %d\n\n", n, id, n) }

// corruptAndCut corrupts and cuts an answer, appends the part that is repeated at once, and
// returns the part that is repeated late.
func (a response) corruptAndCut(text *string) (late string) {
	full := *text
	if a.corruptAt >= 0 {
		at := len(full) * a.corruptAt / 1000
		*text = full[:at] + string(corruptMark) + full[min(len(full), at+1):]
	}
	if a.cutAt >= 0 {
		*text = (*text)[:len(*text)*a.cutAt/1000]
		return ""
	}
	repeated := full[:len(full)*a.repeated/1000]
	if a.late {
		return repeated
	}
	*text += repeated
	return ""
}
