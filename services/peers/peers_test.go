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

// keeper implements only Beat.
type keeper struct {
	betweenv1connect.UnimplementedKeeperServiceHandler
}

func (keeper) Beat(context.Context, *connect.Request[betweenv1.BeatRequest]) (*connect.Response[betweenv1.BeatResponse], error) {
	return connect.NewResponse(&betweenv1.BeatResponse{}), nil
}

func newPeers(t *testing.T, secret string, f certs.Files, c clock.Clock) *peers.Peers {
	t.Helper()
	tls, err := peers.LoadTLS(f.Cert, f.Key, f.CA)
	if err != nil {
		t.Fatal(err)
	}
	return peers.New(peers.Options{Box: "box", Secret: []byte(secret), Clock: c, Stamps: hlc.New(c), TLS: tls, IP: net.IPv4(127, 0, 0, 1)})
}

// TestWhoMaySpeak checks which calls between boxes are accepted: they must match the server
// in the use of TLS, the certificate authority, the shared secret and, roughly, the clock.
func TestWhoMaySpeak(t *testing.T) {
	const secret = "a secret that is shared"
	trusted, untrusted := certs.New(t), certs.New(t)
	tests := map[string]struct {
		server certs.Files
		client certs.Files
		secret string
		skew   time.Duration
		ok     bool
	}{
		"plain":                    {certs.Files{}, certs.Files{}, secret, 0, true},
		"plain, wrong secret":      {certs.Files{}, certs.Files{}, "another secret", 0, false},
		"plain, clock 1m off":      {certs.Files{}, certs.Files{}, secret, time.Minute, true},
		"plain, clock 1h off":      {certs.Files{}, certs.Files{}, secret, time.Hour, false},
		"TLS":                      {trusted, trusted, secret, 0, true},
		"TLS, wrong secret":        {trusted, trusted, "another secret", 0, false},
		"TLS, untrusted authority": {trusted, untrusted, secret, 0, false},
		"TLS server, plain client": {trusted, certs.Files{}, secret, 0, false},
		"plain server, TLS client": {certs.Files{}, trusted, secret, 0, false},
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
				t.Errorf("unexpected result: error %v", err)
			}
		})
	}
}
