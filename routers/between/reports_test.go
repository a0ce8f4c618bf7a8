// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package between

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"havenwinch.dev/havenwinch/gen/havenwinch/between/v1/betweenv1connect"
	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/models/quarantine"
	"havenwinch.dev/havenwinch/models/state"
	"havenwinch.dev/havenwinch/modules/clock"
	"havenwinch.dev/havenwinch/modules/logging"
	"havenwinch.dev/havenwinch/services/control"
	"havenwinch.dev/havenwinch/services/control/controltest"
	"havenwinch.dev/havenwinch/services/gateway"
)

// Both RPCs that submit a report of calls must return its number. Without it the box
// would keep its reported calls quarantined until they expire, even after a release.
func TestReportCallsReturnsNumber(t *testing.T) {
	machine := control.NewMachine()
	log, c, logger := controltest.Log{Machine: machine}, clock.NewFake(), logging.Discard()
	mux := http.NewServeMux()
	mux.Handle("/gateway/", http.StripPrefix("/gateway", NewGatewayHandler(GatewayOptions{
		Gateway: &control.Gateway{Log: log, Machine: machine, Clock: c, Logger: logger}, Stopping: context.Background(),
	})))
	path, handler := betweenv1connect.NewControlServiceHandler(&controlServer{service: control.New(control.Options{Log: log, Machine: machine, Clock: c, Logger: logger})})
	mux.Handle(path, handler)
	server := httptest.NewServer(mux)
	defer server.Close()

	gatewayClient := gateway.NewClient([]string{"control"}, func(string) betweenv1connect.GatewayServiceClient {
		return betweenv1connect.NewGatewayServiceClient(server.Client(), server.URL+"/gateway")
	})
	controlClient := control.NewClient([]string{"control"}, map[string]betweenv1connect.ControlServiceClient{
		"control": betweenv1connect.NewControlServiceClient(server.Client(), server.URL),
	})
	cases := map[string]func(context.Context, *statev1.ReportCalls) error{
		"GatewayService": gatewayClient.ReportCalls,
		"ControlService": controlClient.ReportCalls,
	}
	for name, report := range cases {
		t.Run(name, func(t *testing.T) {
			content := quarantine.DigestOf("o", "POST", name, nil)
			r := &statev1.ReportCalls{Ended: []*statev1.EndedUnder{{Content: content[:], Target: "t1", Weight: quarantine.EarlyEnd}}}
			if err := report(t.Context(), r); err != nil {
				t.Fatal(err)
			}
			var reports uint64
			machine.Read(func(s *state.State) { reports = s.Quarantine.Reports() })
			if r.GetNumber() == 0 || r.GetNumber() != reports {
				t.Fatalf("got number %d, want %d, the number of reports at control", r.GetNumber(), reports)
			}
		})
	}
}
