// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package peers provides the connections between boxes: clients, the HTTP server, the
// authentication of calls, and the logical timestamps that order the timeline.
package peers

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"havenwinch.dev/havenwinch/gen/havenwinch/between/v1/betweenv1connect"
	"havenwinch.dev/havenwinch/modules/clock"
	"havenwinch.dev/havenwinch/modules/dial"
	"havenwinch.dev/havenwinch/modules/hlc"
	"havenwinch.dev/havenwinch/services/timeline"
)

const (
	headerAuth    = "Havenwinch-Auth"
	headerStamp   = "Havenwinch-Stamp"
	headerRequest = "Havenwinch-Request"

	// maxMessage is the maximum size of a message between boxes, in bytes.
	maxMessage = 256 << 20
	// maxFrame is the maximum size of an HTTP/2 frame, in bytes. A client keeps a buffer of this
	// size, of up to 512 KiB, for each stream on which it sends.
	maxFrame = 16 << 10
	// carriedBuffer is the size in bytes of what is kept of a carried connection that nobody reads. It bounds
	// the memory of slow callers, and what a connection carries in a round trip between the boxes.
	carriedBuffer = 64 << 10
	// maxClockSkew is the maximum difference between the clocks of two boxes.
	maxClockSkew = 10 * time.Minute

	dialTimeout = time.Second
	// redialInterval is the delay after which a second connection attempt is started
	// in parallel with one that is still pending: one round trip between regions. With it,
	// entry boxes that start before control get their routing table 0.4 s sooner.
	redialInterval = 200 * time.Millisecond
	idleTimeout    = 90 * time.Second
	pingTimeout    = time.Second
	// carriedPingTimeout is longer, as the end of the connection ends all calls that it carries.
	carriedPingTimeout = 2500 * time.Millisecond
	// restPing is the time without a frame after which a connection is pinged, recordRestPing that of
	// the connections for records of streams: a box has many of them, and a holder that does not
	// answer is replaced at once.
	restPing       = time.Second
	recordRestPing = 5 * time.Second
)

// Options configure Peers.
type Options struct {
	Box    string
	Secret []byte
	Clock  clock.Clock
	Stamps *hlc.Clock
	// TLS is nil for plain connections.
	TLS *tls.Config
	// IP is the local address of outgoing connections, by which other boxes and the
	// network identify this box. Nil leaves the choice to the operating system.
	IP net.IP
}

// Peers creates clients of other boxes and authenticates the calls of other boxes. It is an
// interceptor for both directions.
type Peers struct {
	opts   Options
	client *http.Client
	// carrying is the client for connections to targets, so that their bytes don't delay messages.
	carrying *http.Client
	// recording is the client for records of streams.
	recording *http.Client

	mu      sync.Mutex
	keepers map[string]betweenv1connect.KeeperServiceClient
}

// New returns Peers that use HTTP/2, with TLS if it is configured.
func New(opts Options) *Peers {
	return &Peers{
		opts: opts, client: newClient(opts, restPing, pingTimeout, 0), carrying: newClient(opts, restPing, carriedPingTimeout, carriedBuffer),
		recording: newClient(opts, recordRestPing, pingTimeout, 0),
		keepers:   map[string]betweenv1connect.KeeperServiceClient{},
	}
}

// newClient returns a client that pings a connection after the time rest without a frame, and gives
// it up when a ping has had no answer for the time ping. It keeps up to buffer bytes of a stream that are not
// read, zero for the 4 MB of net/http.
func newClient(opts Options, rest, ping time.Duration, buffer int) *http.Client {
	var protocols http.Protocols
	protocols.SetHTTP2(opts.TLS != nil)
	protocols.SetUnencryptedHTTP2(opts.TLS == nil)
	dialer := &net.Dialer{}
	if opts.IP != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: opts.IP}
	}
	return &http.Client{Transport: &http.Transport{
		Protocols: &protocols,
		// The client and the server each get a copy, since net/http modifies it.
		TLSClientConfig: opts.TLS.Clone(),
		DialContext:     dial.WithTimeout(dial.Hedged(dialer.DialContext, redialInterval), dialTimeout),
		IdleConnTimeout: idleTimeout,
		HTTP2:           &http.HTTP2Config{SendPingTimeout: rest, PingTimeout: ping, MaxReceiveBufferPerStream: buffer},
	}}
}

// LoadTLS reads the files for mutual TLS. It returns nil if cert is empty.
func LoadTLS(cert, key, authority string) (*tls.Config, error) {
	if cert == "" {
		return nil, nil
	}
	pair, err := tls.LoadX509KeyPair(cert, key)
	if err != nil {
		return nil, errors.Wrap(err, "between-cert and between-key can't be used: check that they belong together")
	}
	pem, err := os.ReadFile(authority)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("between-ca %s holds no certificate: use a PEM file", authority)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{pair},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}, nil
}

// BaseURL returns the URL of the box at an address.
func (p *Peers) BaseURL(address string) string {
	if p.opts.TLS != nil {
		return "https://" + address
	}
	return "http://" + address
}

// ClientOptions returns the options for connect clients. They disable compression, since
// the library would compress each response separately, however short. Large messages are
// compressed once by their sender (modules/pack).
func (p *Peers) ClientOptions() []connect.ClientOption {
	return []connect.ClientOption{connect.WithInterceptors(p), connect.WithReadMaxBytes(maxMessage), connect.WithAcceptCompression("gzip", nil, nil)}
}

// HandlerOptions returns the options for connect handlers.
func (p *Peers) HandlerOptions() []connect.HandlerOption {
	return []connect.HandlerOption{connect.WithInterceptors(p), connect.WithReadMaxBytes(maxMessage)}
}

// Keeper returns the client of the keeper at an address. Clients are cached.
func (p *Peers) Keeper(address string) betweenv1connect.KeeperServiceClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	client := p.keepers[address]
	if client == nil {
		client = betweenv1connect.NewKeeperServiceClient(p.client, p.BaseURL(address), p.ClientOptions()...)
		p.keepers[address] = client
	}
	return client
}

// Server returns an HTTP server for the calls of other boxes.
func (p *Peers) Server(handler http.Handler) *http.Server {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(p.opts.TLS != nil)
	protocols.SetUnencryptedHTTP2(p.opts.TLS == nil)
	return &http.Server{
		Handler: handler, Protocols: &protocols, TLSConfig: p.opts.TLS.Clone(), ReadHeaderTimeout: dialTimeout,
		HTTP2: &http.HTTP2Config{MaxReadFrameSize: maxFrame},
	}
}

// sign returns "box time MAC". The MAC covers the box, the time and the procedure, but not
// the message.
func (p *Peers) sign(procedure string) string {
	at := strconv.FormatInt(p.opts.Clock.Wall().Unix(), 10)
	return p.opts.Box + " " + at + " " + p.mac(p.opts.Box, at, procedure)
}

func (p *Peers) mac(box, at, procedure string) string {
	mac := hmac.New(sha256.New, p.opts.Secret)
	mac.Write([]byte(box + " " + at + " " + procedure))
	return hex.EncodeToString(mac.Sum(nil))
}

// verify checks a header that was made by sign.
func (p *Peers) verify(header, procedure string) error {
	fields := strings.Fields(header)
	if len(fields) != 3 || !hmac.Equal([]byte(fields[2]), []byte(p.mac(fields[0], fields[1], procedure))) {
		return connect.NewError(connect.CodeUnauthenticated, errors.New("this box does not share the secret: check secret-file on both boxes"))
	}
	at, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil || p.opts.Clock.Wall().Sub(time.Unix(at, 0)).Abs() > maxClockSkew {
		return connect.NewError(connect.CodeUnauthenticated, errors.New("the clocks of the two boxes differ too much: set them"))
	}
	return nil
}

func (p *Peers) setHeaders(ctx context.Context, header http.Header, procedure string) {
	header.Set(headerAuth, p.sign(procedure))
	header.Set(headerStamp, p.opts.Stamps.Now().String())
	if request := timeline.RequestOf(ctx); request != "" {
		header.Set(headerRequest, request)
	}
}

func (p *Peers) authenticate(ctx context.Context, header http.Header, procedure string) (context.Context, error) {
	if err := p.verify(header.Get(headerAuth), procedure); err != nil {
		return ctx, err
	}
	p.opts.Stamps.Observe(hlc.Parse(header.Get(headerStamp)))
	return timeline.WithRequest(ctx, header.Get(headerRequest)), nil
}

// WrapUnary implements connect.Interceptor.
func (p *Peers) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
		if r.Spec().IsClient {
			p.setHeaders(ctx, r.Header(), r.Spec().Procedure)
			resp, err := next(ctx, r)
			if err == nil {
				p.opts.Stamps.Observe(hlc.Parse(resp.Header().Get(headerStamp)))
			}
			return resp, err
		}
		ctx, err := p.authenticate(ctx, r.Header(), r.Spec().Procedure)
		if err != nil {
			return nil, err
		}
		resp, err := next(ctx, r)
		if err == nil {
			resp.Header().Set(headerStamp, p.opts.Stamps.Now().String())
		}
		return resp, err
	}
}

// WrapStreamingClient implements connect.Interceptor.
func (p *Peers) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return func(ctx context.Context, spec connect.Spec) connect.StreamingClientConn {
		conn := next(ctx, spec)
		p.setHeaders(ctx, conn.RequestHeader(), spec.Procedure)
		return conn
	}
}

// WrapStreamingHandler implements connect.Interceptor.
func (p *Peers) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return func(ctx context.Context, conn connect.StreamingHandlerConn) error {
		ctx, err := p.authenticate(ctx, conn.RequestHeader(), conn.Spec().Procedure)
		if err != nil {
			return err
		}
		return next(ctx, conn)
	}
}
