// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package admin_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/models/target"
	"havenwinch.dev/havenwinch/modules/clock"
	"havenwinch.dev/havenwinch/modules/digest"
	"havenwinch.dev/havenwinch/modules/hlc"
	"havenwinch.dev/havenwinch/modules/logging"
	"havenwinch.dev/havenwinch/routers/admin"
	"havenwinch.dev/havenwinch/services/timeline"
	"havenwinch.dev/havenwinch/structs"
)

const key = "key-of-an-operator"

// fakeBackend implements Control and Box with results that a test sets, and records the
// commands it receives.
type fakeBackend struct {
	result   *statev1.CommandResult
	err      error
	ready    error
	commands []*betweenv1.CommandRequest
}

func (s *fakeBackend) Command(_ context.Context, r *betweenv1.CommandRequest) (*betweenv1.CommandResponse, error) {
	s.commands = append(s.commands, r)
	return &betweenv1.CommandResponse{Result: s.result}, s.err
}

func (s *fakeBackend) Query(context.Context, *betweenv1.QueryRequest) (*betweenv1.QueryResponse, error) {
	return &betweenv1.QueryResponse{Revision: 7, Columns: []string{"a"}, Rows: []*betweenv1.QueryRow{{Cells: []string{"1"}}}}, s.err
}

func (s *fakeBackend) Status() structs.BoxStatus     { return structs.BoxStatus{Box: "box-1"} }
func (s *fakeBackend) Ready() error                  { return s.ready }
func (s *fakeBackend) Explain(string) []target.Score { return nil }

func serve(t *testing.T, s *fakeBackend) string {
	t.Helper()
	a := admin.New(admin.Options{
		Control: s, Box: s, Operators: map[string]string{digest.Of([]byte(key)): "anna"}, Registry: prometheus.NewRegistry(),
		Recorder: timeline.New("box-1", "dc", hlc.New(clock.System{})), Logger: logging.Discard(), BaseContext: context.Background(),
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = a.Server().Serve(l) }()
	t.Cleanup(func() { _ = a.Server().Shutdown() })
	return "http://" + l.Addr().String()
}

// TestResponses checks the status and error that an operator gets for each kind of
// request and of result from control.
func TestResponses(t *testing.T) {
	wire := func(code connect.Code) error { return connect.NewError(code, errors.New("why")) }
	command := `{"number":5,"text":"drain target e"}`
	tests := map[string]struct {
		method, path, body string
		withoutKey         bool
		backend            fakeBackend
		status             int
		kind               structs.Kind
		run                structs.Run
		commands           int
	}{
		"accepted":             {"POST", "/admin/v1/commands", command, false, fakeBackend{result: &statev1.CommandResult{Number: 5, Revision: 3}}, 200, "", "", 1},
		"refused":              {"POST", "/admin/v1/commands", command, false, fakeBackend{result: &statev1.CommandResult{Number: 5, Refusal: "exists"}}, 409, "", "", 1},
		"without a key":        {"POST", "/admin/v1/commands", command, true, fakeBackend{}, 401, structs.KindWrongKey, structs.RunNo, 0},
		"invalid JSON":         {"POST", "/admin/v1/commands", `grant`, false, fakeBackend{}, 400, structs.KindMalformed, structs.RunNo, 0},
		"no number":            {"POST", "/admin/v1/commands", `{"text":"drain target e"}`, false, fakeBackend{}, 400, structs.KindInvalidField, structs.RunNo, 0},
		"negative number":      {"POST", "/admin/v1/commands", `{"number":-1,"text":"x"}`, false, fakeBackend{}, 400, structs.KindMalformed, structs.RunNo, 0},
		"syntax error":         {"POST", "/admin/v1/commands", command, false, fakeBackend{err: wire(connect.CodeInvalidArgument)}, 400, structs.KindSyntax, structs.RunNo, 1},
		"no leader":            {"POST", "/admin/v1/commands", command, false, fakeBackend{err: wire(connect.CodeUnavailable)}, 503, structs.KindNoLeader, structs.RunUnknown, 1},
		"leader lost":          {"POST", "/admin/v1/commands", command, false, fakeBackend{err: wire(connect.CodeAborted)}, 504, structs.KindOutcomeUnknown, structs.RunUnknown, 1},
		"timeout":              {"POST", "/admin/v1/commands", command, false, fakeBackend{err: wire(connect.CodeDeadlineExceeded)}, 504, structs.KindOutcomeUnknown, structs.RunUnknown, 1},
		"query":                {"GET", "/admin/v1/query?q=show+groups", "", false, fakeBackend{}, 200, "", "", 0},
		"query without a key":  {"GET", "/admin/v1/query?q=show+groups", "", true, fakeBackend{}, 401, structs.KindWrongKey, structs.RunNo, 0},
		"bad query":            {"GET", "/admin/v1/query?q=x", "", false, fakeBackend{err: wire(connect.CodeInvalidArgument)}, 400, structs.KindSyntax, structs.RunNo, 0},
		"events":               {"GET", "/admin/v1/events?request=x", "", false, fakeBackend{}, 200, "", "", 0},
		"events without a key": {"GET", "/admin/v1/events", "", true, fakeBackend{}, 401, structs.KindWrongKey, structs.RunNo, 0},
		"status":               {"GET", "/admin/v1/status", "", false, fakeBackend{}, 200, "", "", 0},
		"alive":                {"GET", "/healthz", "", true, fakeBackend{ready: errors.New("stopping")}, 200, "", "", 0},
		"ready":                {"GET", "/readyz", "", true, fakeBackend{}, 200, "", "", 0},
		"not ready":            {"GET", "/readyz", "", true, fakeBackend{ready: errors.New("stopping")}, 503, "", "", 0},
		"metrics":              {"GET", "/metrics", "", true, fakeBackend{}, 200, "", "", 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			req, err := http.NewRequest(test.method, serve(t, &test.backend)+test.path, strings.NewReader(test.body))
			if err != nil {
				t.Fatal(err)
			}
			if !test.withoutKey {
				req.Header.Set("Authorization", "Bearer "+key)
			}
			resp, err := http.DefaultTransport.RoundTrip(req)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			data, err := io.ReadAll(resp.Body)
			if err != nil {
				t.Fatal(err)
			}
			var body structs.ErrorBody
			_ = json.Unmarshal(data, &body)
			if resp.StatusCode != test.status || body.Error.Kind != test.kind || body.Error.Run != test.run || len(test.backend.commands) != test.commands {
				t.Errorf("got %d %q run %q, control received %d commands: %s", resp.StatusCode, body.Error.Kind, body.Error.Run, len(test.backend.commands), data)
			}
			if test.commands == 1 && (test.backend.commands[0].GetOperator() != "anna" || test.backend.commands[0].GetNumber() != 5) {
				t.Errorf("control received %v", test.backend.commands[0])
			}
		})
	}
}
