// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package caller_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/pkg/errors"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	standin "havenwinch.dev/havenwinch/standin/engine"
	"havenwinch.dev/havenwinch/structs"
	"havenwinch.dev/havenwinch/tests/single"
)

// TestEngineFaults injects every fault of an engine. It checks the answer to the
// caller, how often both engines together read and ran the request, and that all
// generated tokens are either billed or written off. Each case sends one request with
// an idempotency key; the fault hits whichever engine gets it first.
func TestEngineFaults(t *testing.T) {
	const all = "w1 w2 w3 w4 w5 w6 w7 w8"
	tests := map[string]struct {
		fault         standin.Fault
		stream        bool
		notRepeatable bool
		status        int
		kind          structs.Kind
		run           structs.Run
		received      int
		served        int
	}{
		"runs and closes, JSON":                  {standin.FaultRunAndClose, false, false, 200, "", "", 1, 1},
		"runs and closes, not repeatable":        {standin.FaultRunAndClose, true, true, 200, "", "", 1, 1},
		"closes without running, JSON":           {standin.FaultClose, false, false, 200, "", "", 2, 1},
		"closes without running, streamed":       {standin.FaultClose, true, false, 200, "", "", 2, 1},
		"closes without running, not repeatable": {standin.FaultClose, false, true, 200, "", "", 2, 1},
		"error before running":                   {standin.FaultError, false, false, 200, "", "", 2, 1},
		"error, not repeatable":                  {standin.FaultError, false, true, 200, "", "", 2, 1},
		"truncated, JSON":                        {standin.FaultTruncate, false, false, 200, "", "", 1, 1},
		"truncated, streamed":                    {standin.FaultTruncate, true, false, 200, "", "", 1, 1},
		"truncated, not repeatable":              {standin.FaultTruncate, true, true, 200, "", "", 1, 1},
		"forgotten, JSON":                        {standin.FaultTruncateAndForget, false, false, 200, "", "", 2, 2},
		"forgotten, streamed":                    {standin.FaultTruncateAndForget, true, false, 200, structs.KindAnswerTruncated, structs.RunYes, 1, 1},
		"forgotten, JSON, not repeatable":        {standin.FaultTruncateAndForget, false, true, 502, structs.KindTargetFailed, structs.RunYes, 1, 1},
		"event of another run, JSON":             {standin.FaultWrongRun, false, false, 200, "", "", 1, 1},
		"event of another run, streamed":         {standin.FaultWrongRun, true, false, 200, "", "", 1, 1},
		"event sent twice":                       {standin.FaultDuplicate, true, false, 200, "", "", 1, 1},
		"never answers":                          {standin.FaultHang, false, false, 429, structs.KindDeadlineCannotBeMet, structs.RunNo, 1, 0},
		"never answers, not repeatable":          {standin.FaultHang, false, true, 429, structs.KindDeadlineCannotBeMet, structs.RunNo, 1, 0},
		"no fault":                               {standin.FaultNone, true, false, 200, "", "", 1, 1},
		"no fault, JSON and not repeatable":      {standin.FaultNone, false, true, 200, "", "", 1, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := single.New(t, single.Options{Tokens: 1000, Engines: []standin.Options{single.DefaultEngine, single.DefaultEngine}})
			s.Engines[0].ShareFaults(s.Engines[1])
			s.Engines[0].SetFault(test.fault, 1)
			headers := []string{"Idempotency-Key: key-1", "Prefer: wait=2"}
			if test.notRepeatable {
				headers = append(headers, "Havenwinch-Repeatable: no")
			}
			got, err := sendAny(t, s, "POST", chatPath, chat("hi", 8, fmt.Sprintf(`,"stream":%v`, test.stream)), headers...)
			// The body of an incomplete stream must not be terminated properly.
			if broken := test.stream && test.kind != ""; broken != errors.Is(err, io.ErrUnexpectedEOF) || !broken && err != nil {
				t.Errorf("reading the answer returned %v", err)
			}
			checkFault(t, s, got, test.stream, test.status, test.kind, test.run)
			received, served := totalCounts(s)
			if received != test.received || served != test.served {
				t.Errorf("received %d times and run %d times, want %d and %d", received, served, test.received, test.served)
			}
			if test.status == 200 && test.kind == "" && !strings.HasPrefix(wordNumbers(t, got, test.stream), all) {
				t.Errorf("the answer is incomplete: %s", got.body)
			}
			r := s.Record("north/a", "key-1")
			if r.GetState() != statev1.RequestState_REQUEST_STATE_DONE && r.GetState() != statev1.RequestState_REQUEST_STATE_RELEASED {
				t.Errorf("the request is left in state %v", r.GetState())
			}
			_, _, first := s.Engines[0].Counts()
			_, _, second := s.Engines[1].Counts()
			if accounted := r.GetBilled() + r.GetWrittenOff(); accounted < first+second {
				t.Errorf("%d tokens are billed or written off, the engines generated %d", accounted, first+second)
			}
		})
	}
}

// totalCounts returns how many requests all engines received and ran.
func totalCounts(s *single.Single) (received, served int) {
	for _, e := range s.Engines {
		r, v, _ := e.Counts()
		received, served = received+r, served+v
	}
	return received, served
}

func checkFault(t *testing.T, s *single.Single, got answer, stream bool, status int, kind structs.Kind, run structs.Run) {
	t.Helper()
	if stream {
		ended := strings.HasSuffix(got.body, "data: [DONE]\n\n")
		failed := strings.Contains(got.body, fmt.Sprintf(`"kind":%q`, kind)) && strings.Contains(got.body, fmt.Sprintf(`"run":%q`, run))
		if got.status != status || ended != (kind == "") || (kind != "") != failed {
			t.Errorf("got %d: %s", got.status, got.body)
		}
		return
	}
	if got.status != status || got.Error.Kind != kind || got.Error.Run != run {
		t.Errorf("got %d %q run %q: %s\n%v", got.status, got.Error.Kind, got.Error.Run, got.body, s.Recorder.Events(""))
	}
}

// wordNumbers returns an answer's words without their second halves, which depend
// on the prompt.
func wordNumbers(t *testing.T, a answer, stream bool) string {
	text := ""
	if stream {
		text = streamText(t, a.body)
	} else {
		text = a.Choices[0].Message.Content
	}
	var words []string
	for _, word := range strings.Fields(text) {
		first, _, _ := strings.Cut(word, "-")
		words = append(words, first)
	}
	return strings.Join(words, " ")
}

// cutWriter aborts the connection after the given number of bytes of the body.
type cutWriter struct {
	http.ResponseWriter
	left int
}

func (w *cutWriter) Flush() { w.ResponseWriter.(http.Flusher).Flush() }

func (w *cutWriter) Write(data []byte) (int, error) {
	n, err := w.ResponseWriter.Write(data[:min(len(data), w.left)])
	if w.left -= len(data); w.left <= 0 {
		w.Flush()
		panic(http.ErrAbortHandler)
	}
	return n, err
}

// A stored answer that breaks off must not look complete to a caller that resumes it.
func TestInterruptedStoredAnswerIsNotTerminated(t *testing.T) {
	var cut atomic.Bool
	s := single.New(t, single.Options{Tokens: 1000, Wrap: func(h http.Handler, _ func()) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if cut.Load() && r.Header.Get("Last-Event-ID") != "" {
				w = &cutWriter{ResponseWriter: w, left: 400}
			}
			h.ServeHTTP(w, r)
		})
	}})
	send(t, s, "POST", chatPath, chat("hi", 20, `,"stream":true`), "Idempotency-Key: k1")
	cut.Store(true)
	rest, err := sendAny(t, s, "GET", "/v1/requests/k1/answer", "", "Last-Event-ID: 4")
	if !errors.Is(err, io.ErrUnexpectedEOF) || !strings.Contains(rest.body, string(structs.KindAnswerTruncated)) {
		t.Fatalf("reading the answer returned %v: %s", err, rest.body)
	}
}
