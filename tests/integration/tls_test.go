// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package integration

import (
	"crypto/tls"
	"crypto/x509"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"

	"havenwinch.dev/havenwinch/tests/certs"
	"havenwinch.dev/havenwinch/tests/fleet"
)

// TestTLSForCallersAndBoxes runs a fleet with TLS for callers and between boxes. Callers
// are served over TLS and not over plaintext connections.
func TestTLSForCallersAndBoxes(t *testing.T) {
	f := certs.New(t, fleet.Addresses(3)...)
	specs := threeBoxes()
	for i := range specs {
		specs[i].Flags = append(append([]string(nil), quickFlags...),
			"--caller-cert", f.Cert, "--caller-key", f.Key,
			"--between-cert", f.Cert, "--between-key", f.Key, "--between-ca", f.CA)
	}
	tb := newTestbed(t, specs, quickEngine, 1000)
	pem, err := os.ReadFile(f.CA)
	tb.noError(err)
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(pem)
	client := &http.Client{Timeout: waitLimit, Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, ServerName: "127.0.0.1"}}}
	req, err := http.NewRequest("POST", "https://"+tb.fleet.Boxes["box-a"].Caller+"/v1/chat/completions", strings.NewReader(`{"model":"m1","max_tokens":5,"messages":[{"role":"user","content":"hi"}]}`))
	tb.noError(err)
	req.Header.Set("Authorization", "Bearer "+accessKey)
	resp, err := client.Do(req)
	tb.noError(err)
	defer resp.Body.Close()
	if body, _ := io.ReadAll(resp.Body); resp.StatusCode != http.StatusOK || !strings.Contains(string(body), "w5-") {
		t.Errorf("got %d %s", resp.StatusCode, body)
	}
	if r, err := tb.send("box-a", "hi", 5, nil); err == nil && r.status == http.StatusOK {
		t.Error("a plaintext connection was served")
	}
}
