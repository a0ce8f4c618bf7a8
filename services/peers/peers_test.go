// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package peers_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"connectrpc.com/connect"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	"havenwinch.dev/havenwinch/gen/havenwinch/between/v1/betweenv1connect"
	"havenwinch.dev/havenwinch/modules/clock"
	"havenwinch.dev/havenwinch/modules/hlc"
	"havenwinch.dev/havenwinch/services/peers"
)

// keeper answers beats only.
type keeper struct {
	betweenv1connect.UnimplementedKeeperServiceHandler
}

func (keeper) Beat(context.Context, *connect.Request[betweenv1.BeatRequest]) (*connect.Response[betweenv1.BeatResponse], error) {
	return connect.NewResponse(&betweenv1.BeatResponse{}), nil
}

// files are a certificate and its authority.
type files struct{ cert, key, ca string }

func write(t *testing.T, path, kind string, data []byte) string {
	t.Helper()
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data}), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// authority makes a certificate authority and one certificate signed by it.
func authority(t *testing.T) files {
	t.Helper()
	folder := t.TempDir()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test"}, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	der, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	path := write(t, filepath.Join(folder, "cert"), "CERTIFICATE", cert)
	return files{cert: path, key: write(t, filepath.Join(folder, "key"), "EC PRIVATE KEY", der), ca: path}
}

func newPeers(t *testing.T, secret string, f files, c clock.Clock) *peers.Peers {
	t.Helper()
	tls, err := peers.LoadTLS(f.cert, f.key, f.ca)
	if err != nil {
		t.Fatal(err)
	}
	return peers.New(peers.Options{Box: "box", Secret: []byte(secret), Clock: c, Stamps: hlc.New(c), TLS: tls, IP: net.IPv4(127, 0, 0, 1)})
}

// TestWhoMaySpeak calls a box in the ways that must be let in and kept out.
func TestWhoMaySpeak(t *testing.T) {
	const secret = "a secret that is shared"
	ours, theirs := authority(t), authority(t)
	tests := map[string]struct {
		server files
		client files
		secret string
		skew   time.Duration
		ok     bool
	}{
		"plain":                        {files{}, files{}, secret, 0, true},
		"plain, another secret":        {files{}, files{}, "another secret", 0, false},
		"plain, clocks a little apart": {files{}, files{}, secret, time.Minute, true},
		"plain, clocks far apart":      {files{}, files{}, secret, time.Hour, false},
		"TLS":                          {ours, ours, secret, 0, true},
		"TLS, another secret":          {ours, ours, "another secret", 0, false},
		"TLS, another authority":       {ours, theirs, secret, 0, false},
		"TLS, plain caller":            {ours, files{}, secret, 0, false},
		"plain, TLS caller":            {files{}, ours, secret, 0, false},
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
