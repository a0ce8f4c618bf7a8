// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package certs creates TLS certificates for tests on loopback.
package certs

import (
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
)

// Files has the paths of the PEM files with a certificate, its private key and the
// certificate of its authority.
type Files struct {
	Cert string
	Key  string
	CA   string
}

// New creates a self-signed certificate for 127.0.0.1 and the given IP addresses, valid for
// servers and clients for one hour. The certificate is its own authority.
func New(t testing.TB, addresses ...string) Files {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	ips := []net.IP{net.IPv4(127, 0, 0, 1)}
	for _, a := range addresses {
		ips = append(ips, net.ParseIP(a))
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test"}, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}, IPAddresses: ips,
	}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	der, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	path := writePEM(t, filepath.Join(dir, "cert"), "CERTIFICATE", cert)
	return Files{Cert: path, Key: writePEM(t, filepath.Join(dir, "key"), "EC PRIVATE KEY", der), CA: path}
}

func writePEM(t testing.TB, path, kind string, data []byte) string {
	t.Helper()
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data}), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}
