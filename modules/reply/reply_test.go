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

// step is one call of a method of Answer.
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
	whole    = step{"whole", func(a *Answer) error { return a.Send(500, nil, []byte("no")) }}
	interim  = step{"continue", func(a *Answer) error { return a.Continue() }}
	badHead  = step{"invalid head", func(a *Answer) error { return a.Begin(200, []Field{{Name: "A", Value: "b\rc"}}, 3) }}
	allSteps = []step{begin, stream, empty, write, part, end, whole, interim, badHead}
)

// runSteps runs steps on one connection, with a new answer after each one that has
// ended. It returns the answers that a strict parser finds and how many have ended.
func runSteps(method string, steps []step) (got []*observe.Answer, ended int, err error) {
	near, far := net.Pipe()
	done := make(chan struct{})
	go func() {
		defer close(done)
		o := observe.NewReader(far)
		for {
			var a *observe.Answer
			if a, err = o.Answer(method); err != nil {
				// The rest is read, too, so that the writer does not block.
				_ = o.ExpectEOF()
				return
			}
			got = append(got, a)
		}
	}()
	c := NewConn(near, Options{WriteTimeout: time.Minute, CloseAfter: func() bool { return false }})
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
		"no step":                         {state: None},
		"written up to the length":        {steps: []step{begin, write}, state: Begun},
		"ended":                           {steps: []step{begin, write, end}, state: Ended},
		"ended twice":                     {steps: []step{begin, write, end, end}, state: Ended},
		"head after the end":              {steps: []step{begin, write, end, begin}, state: Ended},
		"write after the end":             {steps: []step{begin, write, end, write}, state: Ended},
		"second head":                     {steps: []step{stream, write, begin}, state: Broken},
		"complete answer within a stream": {steps: []step{stream, write, whole, end}, state: Broken},
		"ended too early":                 {steps: []step{begin, part, end}, state: Broken},
		"beyond the length":               {steps: []step{begin, write, part}, state: Broken},
		"write without a head":            {steps: []step{write}, state: Broken},
		"end without a head":              {steps: []step{end}, state: Broken},
		"100 Continue within a stream":    {steps: []step{stream, interim}, state: Broken},
		"no body":                         {steps: []step{empty, write, end}, state: Ended},
		"invalid head":                    {steps: []step{badHead}, state: None},
		"valid head after an invalid one": {steps: []step{badHead, whole}, state: Ended},
		"end of a broken answer":          {steps: []step{stream, begin, end}, state: Broken},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			near, far := net.Pipe()
			defer far.Close()
			go func() {
				_ = observe.NewReader(far).ExpectEOF()
				buffer := make([]byte, 1024)
				for {
					if _, err := far.Read(buffer); err != nil {
						return
					}
				}
			}()
			a := NewConn(near, Options{WriteTimeout: time.Minute, CloseAfter: func() bool { return false }}).Next(http.MethodPost)
			for _, s := range c.steps {
				_ = s.do(a)
			}
			if a.State() != c.state {
				t.Fatalf("%s, want %s", a.State(), c.state)
			}
		})
	}
}

// Whatever steps are run, in any order, a strict parser must find complete answers and at
// most one that is cut off, and no chunked answer may look complete before End.
func TestRandomSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		method := rapid.SampledFrom([]string{http.MethodPost, http.MethodHead}).Draw(t, "method")
		var steps []step
		for i := range rapid.IntRange(0, 12).Draw(t, "steps") {
			steps = append(steps, allSteps[rapid.IntRange(0, len(allSteps)-1).Draw(t, fmt.Sprint("step ", i))])
		}
		got, ended, err := runSteps(method, steps)
		if observe.IsErrMalformed(err) {
			t.Fatal(err)
		}
		// The last answer may have all bytes that its head announces although End was not
		// called: only chunked answers have an end marker.
		if last := len(got) - 1; last >= ended && (last > ended || got[last].Chunked) || last < ended-1 {
			t.Fatalf("%d answers ended, the parser found %d", ended, len(got))
		}
	})
}

// Nothing may be written for the next answer while the previous one is incomplete.
func TestNextAfterIncompleteAnswer(t *testing.T) {
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
	c := NewConn(near, Options{WriteTimeout: time.Minute, CloseAfter: func() bool { return false }})
	first := c.Next(http.MethodPost)
	if err := first.Begin(200, nil, -1); err != nil {
		t.Fatal(err)
	}
	if err := c.Next(http.MethodPost).Send(200, nil, nil); !IsErrState(err) {
		t.Fatalf("got %v, want an ErrState", err)
	}
}

func TestCheckHead(t *testing.T) {
	cases := map[string]struct {
		status int
		name   string
		value  string
		valid  bool
	}{
		"valid":             {status: 200, name: "X-A", value: "b\tc \xff", valid: true},
		"empty value":       {status: 599, name: "X", valid: true},
		"interim status":    {status: 100, name: "X"},
		"99":                {status: 99, name: "X"},
		"1000":              {status: 1000, name: "X"},
		"blank in the name": {status: 200, name: "X A"},
		"empty name":        {status: 200},
		"NUL in the name":   {status: 200, name: "X\x00"},
		"CR":                {status: 200, name: "X", value: "a\rb"},
		"LF":                {status: 200, name: "X", value: "a\nb"},
		"NUL":               {status: 200, name: "X", value: "a\x00"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			err := CheckHead(c.status, []Field{{Name: c.name, Value: c.value}})
			if (err == nil) != c.valid || err != nil && !IsErrInvalidHead(err) {
				t.Fatalf("got %v", err)
			}
		})
	}
}
