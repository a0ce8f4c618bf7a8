// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package peers_test

import (
	"context"
	"net"
	"testing"
	"time"

	"connectrpc.com/connect"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	"havenwinch.dev/havenwinch/gen/havenwinch/between/v1/betweenv1connect"
	"havenwinch.dev/havenwinch/modules/clock"
	"havenwinch.dev/havenwinch/modules/hlc"
	"havenwinch.dev/havenwinch/services/peers"
	"havenwinch.dev/havenwinch/tests/certs"
)

// keeper answers beats only.
type keeper struct {
	betweenv1connect.UnimplementedKeeperServiceHandler
}

func (keeper) Beat(context.Context, *connect.Request[betweenv1.BeatRequest]) (*connect.Response[betweenv1.BeatResponse], error) {
	return connect.NewResponse(&betweenv1.BeatResponse{}), nil
}

func newPeers(t *testing.T, secret string, f certs.Files, c clock.Clock) *peers.Peers {
	t.Helper()
	tls, err := peers.LoadTLS(f.Cert, f.Key, f.Authority)
	if err != nil {
		t.Fatal(err)
	}
	return peers.New(peers.Options{Box: "box", Secret: []byte(secret), Clock: c, Stamps: hlc.New(c), TLS: tls, IP: net.IPv4(127, 0, 0, 1)})
}

// TestWhoMaySpeak calls a box in the ways that must be let in and kept out.
func TestWhoMaySpeak(t *testing.T) {
	const secret = "a secret that is shared"
	ours, theirs := certs.New(t), certs.New(t)
	tests := map[string]struct {
		server certs.Files
		client certs.Files
		secret string
		skew   time.Duration
		ok     bool
	}{
		"plain":                        {certs.Files{}, certs.Files{}, secret, 0, true},
		"plain, another secret":        {certs.Files{}, certs.Files{}, "another secret", 0, false},
		"plain, clocks a little apart": {certs.Files{}, certs.Files{}, secret, time.Minute, true},
		"plain, clocks far apart":      {certs.Files{}, certs.Files{}, secret, time.Hour, false},
		"TLS":                          {ours, ours, secret, 0, true},
		"TLS, another secret":          {ours, ours, "another secret", 0, false},
		"TLS, another authority":       {ours, theirs, secret, 0, false},
		"TLS, plain caller":            {ours, certs.Files{}, secret, 0, false},
		"plain, TLS caller":            {certs.Files{}, ours, secret, 0, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			server := newPeers(t, secret, test.server, clock.System{})
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			_, handler := betweenv1connect.NewKeeperServiceHandler(keeper{}, server.HandlerOptions()...)
			s := server.Server(handler)
			go func() {
				if s.TLSConfig != nil {
					_ = s.ServeTLS(l, "", "")
					return
				}
				_ = s.Serve(l)
			}()
			defer s.Close()
			skewed := clock.NewFake()
			skewed.Advance(time.Until(skewed.Wall()) * -1)
			skewed.Jump(test.skew)
			client := newPeers(t, test.secret, test.client, skewed)
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			_, err = client.Keeper(l.Addr().String()).Beat(ctx, connect.NewRequest(&betweenv1.BeatRequest{Box: "x"}))
			if (err == nil) != test.ok {
				t.Errorf("got %v", err)
			}
		})
	}
}
