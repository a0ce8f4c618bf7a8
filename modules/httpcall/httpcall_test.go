// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package httpcall

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/valyala/fasthttp"

	"havenwinch.dev/havenwinch/modules/bytebudget"
)

func TestReadBody(t *testing.T) {
	text := strings.Repeat("0123456789", 100_000)
	for name, c := range map[string]struct {
		r         io.Reader
		maxBytes  int
		memory    int64
		long, mem bool
		fails     bool
	}{
		"whole":           {r: strings.NewReader(text), maxBytes: len(text), memory: 8 << 20},
		"empty":           {r: strings.NewReader(""), maxBytes: 0, memory: 0},
		"byte by byte":    {r: iotest.OneByteReader(strings.NewReader(text)), maxBytes: len(text), memory: 8 << 20},
		"error at end":    {r: iotest.DataErrReader(strings.NewReader(text)), maxBytes: len(text), memory: 8 << 20},
		"a byte too long": {r: strings.NewReader(text), maxBytes: len(text) - 1, memory: 8 << 20, long: true},
		"no memory":       {r: strings.NewReader(text), maxBytes: len(text), memory: 1 << 20, mem: true},
		"fails":           {r: io.MultiReader(strings.NewReader(text), iotest.ErrReader(io.ErrUnexpectedEOF)), maxBytes: 1 << 30, memory: 8 << 20, fails: true},
	} {
		t.Run(name, func(t *testing.T) {
			memory := bytebudget.New(c.memory)
			body, err := ReadBody(c.r, c.maxBytes, memory)
			if IsErrBodyTooLong(err) != c.long || IsErrNoMemory(err) != c.mem || errors.Is(err, io.ErrUnexpectedEOF) != c.fails || (err == nil) == (c.long || c.mem || c.fails) {
				t.Fatalf("got %v", err)
			}
			if err == nil {
				size, all := body.Len(), bytes.Clone(body.Bytes())
				read, _ := io.ReadAll(body)
				if string(read) != string(all) || len(read) != size || size > 0 && string(read) != text {
					t.Errorf("got %d bytes of %d", len(read), size)
				}
				_, _ = body.Close(), body.Close()
			}
			if memory.Held() != 0 {
				t.Errorf("%d bytes stay held", memory.Held())
			}
		})
	}
}

func TestDialURL(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.URL.Path) }))
	defer server.Close()
	conn, err := DialURL(context.Background(), server.URL+"/a", time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	var req fasthttp.Request
	req.SetRequestURI(server.URL + "/a/b")
	if err := conn.Send(&req); err != nil {
		t.Fatal(err)
	}
	answer, err := conn.ReadAnswer()
	if err != nil {
		t.Fatal(err)
	}
	if body, err := io.ReadAll(answer.Body); err != nil || string(body) != "/a/b" || answer.Field("content-length") != "4" || answer.Field("none") != "" {
		t.Errorf("got %q, %v", body, err)
	}
}

// Guards against a server without a certificate that is trusted, or whose end is not authenticated.
func TestDialURLChecksCertificates(t *testing.T) {
	server := httptest.NewUnstartedServer(http.NotFoundHandler())
	server.StartTLS()
	defer server.Close()
	conn, err := DialURL(context.Background(), server.URL, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	var req fasthttp.Request
	req.SetRequestURI(server.URL)
	if err := conn.Send(&req); err == nil {
		t.Error("sent a request to a server whose certificate nobody signed")
	}
}

func TestDialRefused(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = l.Close()
	if _, err := Dial(context.Background(), l.Addr().String(), time.Second); err == nil {
		t.Error("reached a closed port")
	}
	if _, err := DialURL(context.Background(), "http://a b", time.Second); err == nil {
		t.Error("dialled an invalid URL")
	}
}
