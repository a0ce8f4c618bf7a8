// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"fmt"
	"strings"

	"pgregory.net/rapid"
)

// spoilMark stands where a target spoils its bytes; it is in no sound answer.
const spoilMark = '~'

// eventsOfCall is how many events the whole answer to a call has.
const eventsOfCall = 5

// act is how a target answers one request.
type act struct {
	// status is that of the answer; 200 is an answer to the call.
	status int
	// notRun, unsigned and unnamed leave the fields out or in; stray is an answer to
	// another call that comes first.
	notRun, unsigned, unnamed, stray bool
	// unframed leaves out where the body ends.
	unframed bool
	// interim comes before the head.
	interim bool
	// cutAt and spoilAt are where the answer is cut off or spoilt, in parts of a thousand of
	// its length; negative for nowhere. lost is bytes that are no event, after the first.
	cutAt, spoilAt int
	lost           string
	// again is how much of the answer comes a second time, in parts of a thousand; late says
	// that it comes once the next request is there.
	again int
	late  bool
	// close ends the connection after the answer.
	close bool
	// piece is how many bytes are written at once.
	piece int
}

// drawAct draws what a target does; most of it is sound, so that calls come far.
func drawAct(t *rapid.T, name string) act {
	rarely := func(what string) bool { return rapid.IntRange(0, 6).Draw(t, name+" "+what) == 0 }
	a := act{status: 200, cutAt: -1, spoilAt: -1, piece: rapid.SampledFrom([]int{1 << 20, 7, 40}).Draw(t, name+" piece")}
	if rarely("fails") {
		a.status = rapid.SampledFrom([]int{204, 302, 400, 404, 409, 413, 421, 429, 500, 502, 503, 504}).Draw(t, name+" status")
		a.notRun = a.status >= 421 && rarely("has not run")
	}
	a.unsigned, a.unnamed, a.stray, a.interim = rarely("unsigned"), rarely("unnamed"), rarely("stray"), rarely("interim")
	a.unframed, a.close = rarely("unframed"), rarely("close")
	if rarely("cut") || rarely("cut again") {
		a.cutAt = rapid.IntRange(0, 999).Draw(t, name+" cut at")
	}
	if rarely("spoilt") {
		a.spoilAt = rapid.IntRange(0, 999).Draw(t, name+" spoilt at")
	}
	if rarely("lost bytes") {
		a.lost = rapid.SampledFrom([]string{"data: x\n\n", "id: x\ndata: y\n\n", "HTTP/1.1 200 OK\nA: b\n\n", ": c\n\n", "id: 0\ndata: z\n\n"}).Draw(t, name+" lost")
	}
	// What comes after an answer without a length is a part of it.
	if !a.unframed && rarely("again") {
		a.again = rapid.IntRange(1, 1000).Draw(t, name+" how much again")
		a.late = rapid.Bool().Draw(t, name+" late")
	}
	return a
}

// text is the answer to a request, from the event after one on.
func (a act) text(r received, stream bool) string {
	var b strings.Builder
	if a.stray {
		b.WriteString("HTTP/1.1 200 OK\r\nX-Signed: s\r\nX-Id: other\r\nContent-Length: 5\r\n\r\nwrong")
	}
	if a.interim {
		b.WriteString("HTTP/1.1 103 X\r\nA: b\r\n\r\n")
	}
	fmt.Fprintf(&b, "HTTP/1.1 %d X\r\n", a.status)
	if !a.unsigned {
		b.WriteString("X-Signed: s\r\n")
	}
	if !a.unnamed {
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
		if a.lost != "" && len(parts) > 0 {
			parts = append(parts[:1:1], append([]string{a.lost}, parts[1:]...)...)
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

// eventsAfter are the events of a call that come after the one its caller has.
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

// spoilAndCut spoils and cuts an answer, adds what comes again at once, and returns what
// comes again late.
func (a act) spoilAndCut(text *string) (late string) {
	whole := *text
	if a.spoilAt >= 0 {
		at := len(whole) * a.spoilAt / 1000
		*text = whole[:at] + string(spoilMark) + whole[min(len(whole), at+1):]
	}
	if a.cutAt >= 0 {
		*text = (*text)[:len(*text)*a.cutAt/1000]
		return ""
	}
	again := whole[:len(whole)*a.again/1000]
	if a.late {
		return again
	}
	*text += again
	return ""
}
