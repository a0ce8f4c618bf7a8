// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package caller_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"havenwinch.dev/havenwinch/modules/digest"
	standin "havenwinch.dev/havenwinch/standin/engine"
	"havenwinch.dev/havenwinch/standin/service"
	"havenwinch.dev/havenwinch/structs"
	"havenwinch.dev/havenwinch/tests/single"
)

const chatPath = "/v1/chat/completions"

// answer holds the parts of an answer that the tests check.
type answer struct {
	status int
	header http.Header
	body   string
	Error  structs.Error `json:"error"`
	// Choices and Billing are set if the answer isn't streamed.
	Choices []struct {
		Message structs.Message `json:"message"`
	} `json:"choices"`
	Billing struct {
		Billed   uint64 `json:"billed"`
		Replayed bool   `json:"replayed"`
	} `json:"havenwinch"`
}

// send sends a request with headers given as "Name: value" and fails the test if the
// body of the answer can't be read to its end.
func send(t *testing.T, s *single.Single, method, path, body string, headers ...string) answer {
	t.Helper()
	a, err := sendAny(t, s, method, path, body, headers...)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// sendAny is like send but returns the error of reading the body.
func sendAny(t *testing.T, s *single.Single, method, path, body string, headers ...string) (answer, error) {
	t.Helper()
	req, err := http.NewRequest(method, s.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+single.Key)
	for _, h := range headers {
		name, value, _ := strings.Cut(h, ": ")
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	a := answer{status: resp.StatusCode, header: resp.Header, body: string(data)}
	if err != nil {
		return a, err
	}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "application/json") {
		if err := json.Unmarshal(data, &a); err != nil {
			t.Fatalf("%s: %s", err, data)
		}
	}
	return a, nil
}

func chat(prompt string, maxTokens int, extra string) string {
	return fmt.Sprintf(`{"model":"m1","messages":[{"role":"user","content":%q}],"max_tokens":%d%s}`, prompt, maxTokens, extra)
}

// TestBadInput checks the answer to each kind of invalid request, and that none of them
// reserves tokens or reaches an engine.
func TestBadInput(t *testing.T) {
	good := chat("hello", 5, "")
	tests := map[string]struct {
		method, path, body string
		headers            []string
		status             int
		kind               structs.Kind
		field              string
	}{
		"no key":                        {"POST", chatPath, good, []string{"Authorization: "}, 401, structs.KindNoKey, ""},
		"wrong key":                     {"POST", chatPath, good, []string{"Authorization: Bearer nobody"}, 401, structs.KindWrongKey, ""},
		"unknown model":                 {"POST", chatPath, strings.Replace(good, "m1", "m9", 1), nil, 404, structs.KindUnknownModel, "model"},
		"model not allowed":             {"POST", chatPath, strings.Replace(good, "m1", "m2", 1), nil, 403, structs.KindModelNotAllowed, "model"},
		"no model":                      {"POST", chatPath, `{"messages":[]}`, nil, 400, structs.KindInvalidField, "model"},
		"malformed JSON":                {"POST", chatPath, `{"model":`, nil, 400, structs.KindMalformed, ""},
		"JSON array":                    {"POST", chatPath, `[1]`, nil, 400, structs.KindMalformed, ""},
		"no messages":                   {"POST", chatPath, `{"model":"m1","messages":[]}`, nil, 400, structs.KindInvalidField, "messages"},
		"negative limit":                {"POST", chatPath, chat("x", -1, ""), nil, 400, structs.KindInvalidField, "max_tokens"},
		"limit of zero":                 {"POST", chatPath, chat("x", 0, ""), nil, 400, structs.KindInvalidField, "max_tokens"},
		"huge limit":                    {"POST", chatPath, chat("x", 1<<40, ""), nil, 400, structs.KindInvalidField, "max_tokens"},
		"limit beyond integers":         {"POST", chatPath, `{"model":"m1","max_tokens":1e99,"messages":[]}`, nil, 400, structs.KindMalformed, ""},
		"several answers":               {"POST", chatPath, chat("x", 5, `,"n":2`), nil, 400, structs.KindInvalidField, "n"},
		"body too large":                {"POST", chatPath, chat(strings.Repeat("x", 2<<20), 5, ""), nil, 413, structs.KindTooLarge, ""},
		"deadline in the past":          {"POST", chatPath, good, []string{"Havenwinch-Deadline: 2020-01-01T00:00:00Z"}, 400, structs.KindDeadlinePast, "Havenwinch-Deadline"},
		"malformed deadline":            {"POST", chatPath, good, []string{"Havenwinch-Deadline: soon"}, 400, structs.KindInvalidField, "Havenwinch-Deadline"},
		"wait of zero":                  {"POST", chatPath, good, []string{"Prefer: wait=0"}, 400, structs.KindInvalidField, "Prefer"},
		"urgency out of range":          {"POST", chatPath, good, []string{"Priority: u=9"}, 400, structs.KindInvalidField, "Priority"},
		"priority not allowed":          {"POST", chatPath, good, []string{"Authorization: Bearer " + single.BatchKey, "Priority: u=1"}, 403, structs.KindPriorityNotAllowed, ""},
		"repeatable neither yes nor no": {"POST", chatPath, good, []string{"Havenwinch-Repeatable: maybe"}, 400, structs.KindInvalidField, "Havenwinch-Repeatable"},
		"key too long":                  {"POST", chatPath, good, []string{"Idempotency-Key: " + strings.Repeat("k", 300)}, 400, structs.KindInvalidField, "Idempotency-Key"},
		"key with a space":              {"POST", chatPath, good, []string{"Idempotency-Key: a b"}, 400, structs.KindInvalidField, "Idempotency-Key"},
		"key with reserved prefix":      {"POST", chatPath, good, []string{"Idempotency-Key: anonymous:1"}, 400, structs.KindInvalidField, "Idempotency-Key"},
		"more than the budget":          {"POST", chatPath, chat("x", 20000, ""), nil, 402, structs.KindBudgetExhausted, ""},
		"service not allowed":           {"GET", "/services/other/x", "", nil, 403, structs.KindServiceNotAllowed, ""},
		"service without server":        {"GET", "/services/portal/x", "", nil, 503, structs.KindNoTarget, ""},
		"unknown path":                  {"GET", "/v2/models", "", nil, 404, structs.KindNotFound, ""},
		"unknown request":               {"GET", "/v1/requests/never", "", nil, 404, structs.KindNotFound, ""},
		"bad event id":                  {"GET", "/v1/requests/x/answer", "", []string{"Last-Event-ID: -1"}, 400, structs.KindInvalidField, "Last-Event-ID"},
	}
	s := single.New(t, single.Options{Tokens: 10_000})
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := send(t, s, test.method, test.path, test.body, test.headers...)
			if got.status != test.status || got.Error.Kind != test.kind || got.Error.Field != test.field {
				t.Errorf("got %d %q field %q, want %d %q field %q: %s", got.status, got.Error.Kind, got.Error.Field, test.status, test.kind, test.field, got.body)
			}
			if got.Error.Run != structs.RunNo || got.Error.Message == "" || got.Error.Billed != 0 {
				t.Errorf("got %s", got.body)
			}
		})
	}
	if stats := s.Keeper.Stats(); stats.Open != 0 {
		t.Errorf("%d reservations remain open", stats.Open)
	}
	if received, _, _ := s.Engines[0].Counts(); received != 0 {
		t.Errorf("%d requests reached the engine", received)
	}
}

func TestHeadersOverTheLimitAreRefused(t *testing.T) {
	s := single.New(t, single.Options{Tokens: 1000})
	conn, err := net.Dial("tcp", strings.TrimPrefix(s.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "GET /v1/models HTTP/1.1\r\nHost: x\r\nX-Bomb: %s\r\n\r\n", strings.Repeat("b", 64<<10))
	line, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil || !strings.Contains(line, "400") {
		t.Errorf("got %q, %v", line, err)
	}
}

// TestIncompleteRequestsTimeOut sends only a part of a request.
func TestIncompleteRequestsTimeOut(t *testing.T) {
	head := "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + single.Key + "\r\nContent-Length: 500\r\n"
	tests := map[string]string{
		"half of the headers": head[:60],
		"no body":             head + "\r\n",
		"half of the body":    head + "\r\n" + chat("hello", 5, ""),
	}
	for name, part := range tests {
		t.Run(name, func(t *testing.T) {
			s := single.New(t, single.Options{Tokens: 1000, ReadTimeout: 100 * time.Millisecond})
			conn, err := net.Dial("tcp", strings.TrimPrefix(s.URL, "http://"))
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if _, err := io.WriteString(conn, part); err != nil {
				t.Fatal(err)
			}
			// The box has to close the connection after the read timeout.
			data, err := io.ReadAll(conn)
			if err != nil || strings.Contains(string(data), " 200 ") {
				t.Errorf("got %q %v", data, err)
			}
			if received, _, _ := s.Engines[0].Counts(); received != 0 || s.Keeper.Stats().Records != 0 {
				t.Error("an incomplete request was processed")
			}
		})
	}
}

// TestIdempotencyKeyIsBilledOnce repeats a key with the same body, with another body,
// and after the engine has dropped the answer.
func TestIdempotencyKeyIsBilledOnce(t *testing.T) {
	s := single.New(t, single.Options{Tokens: 10_000})
	body := chat("make a list", 6, "")
	first := send(t, s, "POST", chatPath, body, "Idempotency-Key: list-1")
	again := send(t, s, "POST", chatPath, body, "Idempotency-Key: list-1")
	if first.status != 200 || again.status != 200 || first.Choices[0].Message != again.Choices[0].Message {
		t.Fatalf("got %s and %s", first.body, again.body)
	}
	if !again.Billing.Replayed || again.Billing.Billed != first.Billing.Billed {
		t.Errorf("the repeated request was billed again: %s", again.body)
	}
	other := send(t, s, "POST", chatPath, chat("make another list", 6, ""), "Idempotency-Key: list-1")
	if other.status != 422 || other.Error.Kind != structs.KindKeyConflict || other.Error.Run != structs.RunNo {
		t.Errorf("another body with the same key got %s", other.body)
	}
	if _, served, _ := s.Engines[0].Counts(); served != 1 {
		t.Errorf("the engine ran %d times", served)
	}
	s.WaitFor("the bill is reported", func() bool {
		return s.Cell("show groups where group = north/a", "billed") == fmt.Sprint(first.Billing.Billed)
	})
	status := send(t, s, "GET", "/v1/requests/list-1", "")
	if !strings.Contains(status.body, `"state":"done","run":"yes"`) {
		t.Errorf("got %s", status.body)
	}
	s.Engines[0].Forget(runID("north/a", "list-1"))
	lost := send(t, s, "POST", chatPath, body, "Idempotency-Key: list-1")
	if lost.status != 410 || lost.Error.Kind != structs.KindAnswerNotKept || lost.Error.Run != structs.RunYes {
		t.Errorf("a request whose answer was dropped got %s", lost.body)
	}
}

// runID returns the ID under which an engine knows the first run of a request.
func runID(group, key string) string {
	return digest.Of([]byte(group), []byte(key), []byte("1"))[:32]
}

// TestConcurrentAnswersAreNotMixedUp sends many requests at once, streamed and not,
// some of whose callers disconnect, and compares each answer with the one its prompt
// must get. With the race detector it also shows that no buffer is used after its
// request.
func TestConcurrentAnswersAreNotMixedUp(t *testing.T) {
	s := single.New(t, single.Options{Tokens: 10_000_000, Engines: []standin.Options{single.DefaultEngine, single.DefaultEngine}})
	want := func(prompt string) string {
		e := standin.New(standin.Options{Slots: 1, PrefillPerSecond: 1 << 30})
		run := e.Start(standin.Prompt{ID: "x", Text: "user\n" + prompt + "\n", MaxTokens: 8})
		return run.WaitText()
	}
	var wg sync.WaitGroup
	for i := range 120 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			prompt := fmt.Sprintf("prompt %d %s", i, strings.Repeat("z", i))
			switch i % 3 {
			case 0:
				got := send(t, s, "POST", chatPath, chat(prompt, 8, ""))
				if got.status != 200 || got.Choices[0].Message.Content != want(prompt) {
					t.Errorf("request %d got %s", i, got.body)
				}
			case 1:
				got := send(t, s, "POST", chatPath, chat(prompt, 8, `,"stream":true`))
				if text := streamText(t, got.body); text != want(prompt) || !strings.HasSuffix(got.body, "data: [DONE]\n\n") {
					t.Errorf("stream %d got %s", i, got.body)
				}
			default:
				disconnectMidStream(t, s, chat(prompt, 8, `,"stream":true`))
			}
		}()
	}
	wg.Wait()
	s.WaitFor("all reservations are settled", func() bool { return s.Keeper.Stats().Open == 0 })
}

// disconnectMidStream reads the first line of a stream and closes the connection.
func disconnectMidStream(t *testing.T, s *single.Single, body string, headers ...string) {
	req, err := http.NewRequest("POST", s.URL+chatPath, strings.NewReader(body))
	if err != nil {
		t.Error(err)
		return
	}
	req.Header.Set("Authorization", "Bearer "+single.Key)
	for _, h := range headers {
		if name, value, ok := strings.Cut(h, ": "); ok {
			req.Header.Set(name, value)
		}
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		t.Error(err)
		return
	}
	_, _ = bufio.NewReader(resp.Body).ReadString('\n')
	_ = resp.Body.Close()
}

func streamText(t *testing.T, body string) string {
	var text strings.Builder
	for _, line := range strings.Split(body, "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok || data == "[DONE]" {
			continue
		}
		var e struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if err := json.Unmarshal([]byte(data), &e); err != nil {
			t.Errorf("%s: %s", err, data)
		}
		for _, c := range e.Choices {
			text.WriteString(c.Delta.Content)
		}
	}
	return text.String()
}

// TestPlainService checks how often a call reaches the servers of a plain service when
// it is repeated or a server closes the connection.
func TestPlainService(t *testing.T) {
	tests := map[string]struct {
		method  string
		headers []string
		sends   int
		close   int
		status  int
		run     structs.Run
		calls   int
	}{
		"read":                                {"GET", nil, 1, 0, 200, "", 1},
		"read, first server closes":           {"GET", nil, 1, 1, 200, "", 2},
		"write":                               {"POST", nil, 1, 0, 200, "", 1},
		"write, server closes without answer": {"POST", nil, 1, 1, 502, structs.RunUnknown, 1},
		"write with a key, sent twice":        {"POST", []string{"Idempotency-Key: k"}, 2, 0, 410, structs.RunYes, 1},
		"write with a key, server closes":     {"POST", []string{"Idempotency-Key: k"}, 2, 1, 502, structs.RunUnknown, 1},
		"write that may be repeated":          {"POST", []string{"Havenwinch-Repeatable: yes"}, 1, 1, 200, "", 2},
		"read that may not be repeated":       {"GET", []string{"Havenwinch-Repeatable: no"}, 1, 1, 502, structs.RunUnknown, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			one, two := service.New("one", 0), service.New("two", 0)
			s := single.New(t, single.Options{Tokens: 100, Services: []http.Handler{one, two}})
			// The server that gets the call first closes the connection.
			one.ShareCloses(two)
			one.CloseNext(test.close)
			var got answer
			for range test.sends {
				got = send(t, s, test.method, "/services/portal/search", "q", test.headers...)
			}
			calls := one.Calls(test.method+" /search") + two.Calls(test.method+" /search")
			if got.status != test.status || got.Error.Run != test.run || calls != test.calls {
				t.Errorf("got %d run %q after %d calls, want %d run %q after %d: %s", got.status, got.Error.Run, calls, test.status, test.run, test.calls, got.body)
			}
		})
	}
}

// TestQueuedStreamGetsKeepAlives sends two streams to an engine with a single slot.
func TestQueuedStreamGetsKeepAlives(t *testing.T) {
	slow := single.DefaultEngine
	slow.TokenTime = 5 * time.Millisecond
	s := single.New(t, single.Options{Tokens: 10_000, Engines: []standin.Options{slow}})
	s.Command("rollout target-slots = 1")
	s.Command("rollout interactive-slots = 0")
	var wg sync.WaitGroup
	bodies := make([]string, 2)
	for i := range bodies {
		wg.Add(1)
		go func() {
			defer wg.Done()
			bodies[i] = send(t, s, "POST", chatPath, chat("wait", 40, `,"stream":true`)).body
		}()
	}
	wg.Wait()
	queued := 0
	for _, body := range bodies {
		if strings.HasPrefix(body, ": waiting, ") {
			queued++
		}
		if len(strings.Fields(streamText(t, body))) != 40 || !strings.HasSuffix(body, "data: [DONE]\n\n") {
			t.Errorf("a stream is incomplete: %s", body)
		}
	}
	if queued != 1 {
		t.Errorf("%d of two streams got keep-alives while queued, want 1", queued)
	}
}

// TestServicesAnswerWhileEnginesAreFull calls a plain service while the only engine and
// its queue are full.
func TestServicesAnswerWhileEnginesAreFull(t *testing.T) {
	slow := single.DefaultEngine
	slow.TokenTime = 20 * time.Millisecond
	s := single.New(t, single.Options{Tokens: 100_000, Engines: []standin.Options{slow}, Services: []http.Handler{service.New("one", 0)}})
	s.Command("rollout target-slots = 1")
	var wg sync.WaitGroup
	var inProgress atomic.Int64
	const requests = 6
	inProgress.Store(requests)
	for range requests {
		wg.Add(1)
		go func() {
			defer wg.Done()
			send(t, s, "POST", chatPath, chat("work", 20, ""))
			inProgress.Add(-1)
		}()
	}
	s.WaitFor("requests are queued", func() bool { return s.Dispatcher.Status().Queued > 2 })
	got := send(t, s, "GET", "/services/portal/search", "")
	if got.status != 200 || inProgress.Load() == 0 {
		t.Errorf("got %d while %d requests were in progress: %s", got.status, inProgress.Load(), got.body)
	}
	wg.Wait()
}

func TestHeadersAndModels(t *testing.T) {
	s := single.New(t, single.Options{Tokens: 1000})
	got := send(t, s, "GET", "/v1/models", "")
	if got.status != 200 || !strings.Contains(got.body, `"id":"m1"`) || strings.Contains(got.body, "m2") {
		t.Errorf("got %s", got.body)
	}
	resp := send(t, s, "POST", chatPath, `{"model":"m1","messages":[{"role":"user","content":"hi"}]}`)
	if resp.status != 200 || resp.header.Get("Havenwinch-Billed") != fmt.Sprint(resp.Billing.Billed) || resp.header.Get("X-Request-Id") == "" {
		t.Errorf("got %v %s", resp.header, resp.body)
	}
	if words := len(strings.Fields(resp.Choices[0].Message.Content)); words != 20 {
		t.Errorf("a request without a limit got %d words, its group's default is 20", words)
	}
}

func TestAnswerCanBeFetchedAgain(t *testing.T) {
	s := single.New(t, single.Options{Tokens: 1000})
	first := send(t, s, "POST", chatPath, chat("hi", 10, `,"stream":true`), "Idempotency-Key: k1")
	rest := send(t, s, "GET", "/v1/requests/k1/answer", "", "Last-Event-ID: 4")
	want := strings.Join(strings.SplitAfter(streamText(t, first.body), " ")[4:], "")
	if got := streamText(t, rest.body); got != want {
		t.Errorf("the rest is %q, want %q", got, want)
	}
}

func TestDeadlineEndsRun(t *testing.T) {
	slow := single.DefaultEngine
	slow.TokenTime = 200 * time.Millisecond
	s := single.New(t, single.Options{Tokens: 1000, Engines: []standin.Options{slow}})
	got := send(t, s, "POST", chatPath, chat("hi", 100, ""), "Prefer: wait=1")
	if got.status != 429 || got.Error.Kind != structs.KindDeadlineCannotBeMet || got.Error.Run != structs.RunYes || got.Error.Billed == 0 || got.Error.Billed > 50 {
		t.Errorf("got %s", got.body)
	}
}

// TestCallerDisconnects closes the connection during the answer. Without a key the run
// is cancelled and billed for what it used; with a key it continues, and the answer is
// stored.
func TestCallerDisconnects(t *testing.T) {
	slow := single.DefaultEngine
	slow.TokenTime = 5 * time.Millisecond
	const words = 100
	tests := map[string]struct {
		stream bool
		key    string
	}{
		"streamed, without a key": {true, ""},
		"streamed, with a key":    {true, "Idempotency-Key: k1"},
		"JSON, without a key":     {false, ""},
		"JSON, with a key":        {false, "Idempotency-Key: k1"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := single.New(t, single.Options{Tokens: 1000, Engines: []standin.Options{slow}})
			if test.stream {
				disconnectMidStream(t, s, chat("hi", words, `,"stream":true`), test.key)
			} else {
				disconnectBeforeAnswer(t, s, chat("hi", words, ""), test.key)
			}
			s.WaitFor("the bill is reported", func() bool {
				return s.Cell("show groups where group = north/a", "requests") == "1" && s.Keeper.Stats().Open == 0
			})
			_, _, generated := s.Engines[0].Counts()
			billed := s.Cell("show groups where group = north/a", "billed")
			if want := fmt.Sprint(generated + uint64(len("user\nhi\n")/4+4)); billed != want {
				t.Errorf("billed %s, the engine used %s", billed, want)
			}
			if test.key == "" {
				if generated == words {
					t.Error("the run was not cancelled")
				}
				return
			}
			if rest := send(t, s, "GET", "/v1/requests/k1/answer", ""); len(strings.Fields(streamText(t, rest.body))) != words {
				t.Errorf("the stored answer is %s", rest.body)
			}
		})
	}
}

// disconnectBeforeAnswer sends a request that isn't streamed and closes the connection
// once the engine generates tokens.
func disconnectBeforeAnswer(t *testing.T, s *single.Single, body, header string) {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(s.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if header != "" {
		header += "\r\n"
	}
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n%sContent-Length: %d\r\n\r\n%s", chatPath, single.Key, header, len(body), body)
	s.WaitFor("the engine generates tokens", func() bool {
		_, _, generated := s.Engines[0].Counts()
		return generated > 0
	})
}
