// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package reply

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"pgregory.net/rapid"

	"havenwinch.dev/havenwinch/tests/observe"
	"havenwinch.dev/havenwinch/tests/seeded"
)

// step is one thing that code asks of an answer.
type step struct {
	name string
	do   func(a *Answer) error
}

var (
	begin    = step{"begin", func(a *Answer) error { return a.Begin(200, []Field{{Name: "A", Value: "b"}}, 3) }}
	stream   = step{"stream", func(a *Answer) error { return a.Begin(200, nil, -1) }}
	empty    = step{"204", func(a *Answer) error { return a.Begin(204, nil, -1) }}
	write    = step{"write", func(a *Answer) error { return a.Write([]byte("abc")) }}
	part     = step{"part", func(a *Answer) error { return a.Write([]byte("a")) }}
	end      = step{"end", func(a *Answer) error { return a.End() }}
	whole    = step{"whole", func(a *Answer) error { return a.Whole(500, nil, []byte("no")) }}
	interim  = step{"continue", func(a *Answer) error { return a.Continue() }}
	spoilt   = step{"spoilt head", func(a *Answer) error { return a.Begin(200, []Field{{Name: "A", Value: "b\rc"}}, 3) }}
	allSteps = []step{begin, stream, empty, write, part, end, whole, interim, spoilt}
)

// play asks for steps on one connection, a new answer after each that has ended, and
// returns what a strict reader gets and how many answers ended.
func play(method string, steps []step) (got []*observe.Answer, ended int, err error) {
	near, far := net.Pipe()
	done := make(chan struct{})
	go func() {
		defer close(done)
		o := observe.NewReader(far)
		for {
			var a *observe.Answer
			if a, err = o.Answer(method); err != nil {
				// What comes after it is read, so that the writer is not held up.
				_ = o.Rest()
				return
			}
			got = append(got, a)
		}
	}()
	c := NewConn(near, Options{WriteTime: time.Minute, Last: func() bool { return false }})
	a := c.Next(method)
	for _, s := range steps {
		_ = s.do(a)
		if a.State() == Ended {
			ended++
			a = c.Next(method)
		}
	}
	_ = near.Close()
	<-done
	return got, ended, err
}

func TestMain(m *testing.M) { seeded.Main(m) }

func TestStates(t *testing.T) {
	cases := map[string]struct {
		steps []step
		state State
	}{
		"nothing":                        {state: None},
		"a length":                       {steps: []step{begin, write}, state: Begun},
		"ended":                          {steps: []step{begin, write, end}, state: Ended},
		"ended twice":                    {steps: []step{begin, write, end, end}, state: Ended},
		"a head after the end":           {steps: []step{begin, write, end, begin}, state: Ended},
		"bytes after the end":            {steps: []step{begin, write, end, write}, state: Ended},
		"a second head":                  {steps: []step{stream, write, begin}, state: Broken},
		"a whole answer within a stream": {steps: []step{stream, write, whole, end}, state: Broken},
		"ended too early":                {steps: []step{begin, part, end}, state: Broken},
		"too long":                       {steps: []step{begin, write, part}, state: Broken},
		"bytes without a head":           {steps: []step{write}, state: Broken},
		"an end without a head":          {steps: []step{end}, state: Broken},
		"a question within the answer":   {steps: []step{stream, interim}, state: Broken},
		"no body":                        {steps: []step{empty, write, end}, state: Ended},
		"a spoilt head":                  {steps: []step{spoilt}, state: None},
		"a sound head after a spoilt":    {steps: []step{spoilt, whole}, state: Ended},
		"an end after a break":           {steps: []step{stream, begin, end}, state: Broken},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			near, far := net.Pipe()
			defer far.Close()
			go func() {
				_ = observe.NewReader(far).Rest()
				buffer := make([]byte, 1024)
				for {
					if _, err := far.Read(buffer); err != nil {
						return
					}
				}
			}()
			a := NewConn(near, Options{WriteTime: time.Minute, Last: func() bool { return false }}).Next(http.MethodPost)
			for _, s := range c.steps {
				_ = s.do(a)
			}
			if a.State() != c.state {
				t.Fatalf("%s, want %s", a.State(), c.state)
			}
		})
	}
}

// Whatever is asked of the answers of a connection, in any order, a strict reader gets
// whole answers and at most one that breaks off; none in chunks is whole before its end.
func TestRandomSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		method := rapid.SampledFrom([]string{http.MethodPost, http.MethodHead}).Draw(t, "method")
		var steps []step
		for i := range rapid.IntRange(0, 12).Draw(t, "steps") {
			steps = append(steps, allSteps[rapid.IntRange(0, len(allSteps)-1).Draw(t, fmt.Sprint("step ", i))])
		}
		got, ended, err := play(method, steps)
		if observe.IsErrUnreadable(err) {
			t.Fatal(err)
		}
		// The last one may have all the bytes that its head announces, and no end: only
		// one in chunks ends with a byte of its own.
		if last := len(got) - 1; last >= ended && (last > ended || got[last].Chunked) || last < ended-1 {
			t.Fatalf("%d answers ended, a reader has %d", ended, len(got))
		}
	})
}

// An answer is not written where the one before it is not whole.
func TestNextAfterABrokenAnswer(t *testing.T) {
	near, far := net.Pipe()
	go func() {
		buffer := make([]byte, 1024)
		for {
			if _, err := far.Read(buffer); err != nil {
				return
			}
		}
	}()
	defer far.Close()
	c := NewConn(near, Options{WriteTime: time.Minute, Last: func() bool { return false }})
	first := c.Next(http.MethodPost)
	if err := first.Begin(200, nil, -1); err != nil {
		t.Fatal(err)
	}
	if err := c.Next(http.MethodPost).Whole(200, nil, nil); !IsErrState(err) {
		t.Fatalf("got %v, want an error of the state", err)
	}
}

func TestCheckHead(t *testing.T) {
	cases := map[string]struct {
		status int
		name   string
		value  string
		sound  bool
	}{
		"sound":             {status: 200, name: "X-A", value: "b\tc \xff", sound: true},
		"empty value":       {status: 599, name: "X", sound: true},
		"interim":           {status: 100, name: "X"},
		"99":                {status: 99, name: "X"},
		"1000":              {status: 1000, name: "X"},
		"blank in the name": {status: 200, name: "X A"},
		"no name":           {status: 200},
		"NUL in the name":   {status: 200, name: "X\x00"},
		"CR":                {status: 200, name: "X", value: "a\rb"},
		"LF":                {status: 200, name: "X", value: "a\nb"},
		"NUL":               {status: 200, name: "X", value: "a\x00"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			err := CheckHead(c.status, []Field{{Name: c.name, Value: c.value}})
			if (err == nil) != c.sound || err != nil && !IsErrHead(err) {
				t.Fatalf("got %v", err)
			}
		})
	}
}
