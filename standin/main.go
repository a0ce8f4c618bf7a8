// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Command standin runs small stand-ins for the services of the platform: model
// engines, servers of a plain service, the list of targets and the weight store. It is
// not part of havenwinch itself.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"havenwinch.dev/havenwinch/standin/engine"
	"havenwinch.dev/havenwinch/standin/platform"
	"havenwinch.dev/havenwinch/standin/service"
)

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "standin",
		Usage: "run stand-ins for engines, a plain service and the platform's list",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "address of the platform's list"},
			&cli.StringFlag{Name: "address-file", Usage: "file that the list's URL is written to"},
			&cli.StringSliceFlag{Name: "data-centre", Value: []string{"dc-a"}, Usage: "data centres"},
			&cli.IntFlag{Name: "engines", Value: 2, Usage: "engines in each data centre"},
			&cli.IntFlag{Name: "servers", Value: 1, Usage: "servers of the plain service in each data centre"},
			&cli.StringFlag{Name: "service", Value: "portal", Usage: "name of the plain service"},
			&cli.StringSliceFlag{Name: "model", Value: []string{"small-1"}, Usage: "models of every engine"},
			&cli.IntFlag{Name: "slots", Value: 8, Usage: "runs that an engine decodes concurrently"},
			&cli.IntFlag{Name: "prefill", Value: 20000, Usage: "prompt tokens that an engine prefills per second"},
			&cli.DurationFlag{Name: "token-time", Value: 10 * time.Millisecond, Usage: "time between tokens of a run"},
			&cli.IntFlag{Name: "cache-blocks", Value: 4096, Usage: "prompt blocks that an engine caches"},
		},
		Action: run,
	}
}

func run(ctx context.Context, c *cli.Command) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	list := platform.New(1)
	for _, dc := range c.StringSlice("data-centre") {
		if err := addTargets(c, list, dc); err != nil {
			return err
		}
	}
	address, err := serve(c.String("listen"), list.Handler())
	if err != nil {
		return err
	}
	if file := c.String("address-file"); file != "" {
		if err := os.WriteFile(file, []byte("http://"+address), 0o600); err != nil {
			return err
		}
	}
	slog.Info("stand-ins are ready", "platform", "http://"+address, "targets", len(list.List().Targets))
	<-ctx.Done()
	return nil
}

func addTargets(c *cli.Command, list *platform.Platform, dc string) error {
	for i := range c.Int("engines") {
		name := fmt.Sprintf("engine-%s-%d", strings.TrimPrefix(dc, "dc-"), i+1)
		e := engine.New(engine.Options{
			Name:               name,
			Slots:              c.Int("slots"),
			PrefillPerSecond:   c.Int("prefill"),
			TokenTime:          c.Duration("token-time"),
			CacheBlocks:        c.Int("cache-blocks"),
			RejectsStaleOrders: i%2 == 0,
		})
		address, err := serve("127.0.0.1:0", e.Handler())
		if err != nil {
			return err
		}
		list.Put(platform.Target{Name: name, Address: address, Kind: "engine", Models: c.StringSlice("model"), DataCentre: dc, State: "live"})
	}
	for i := range c.Int("servers") {
		name := fmt.Sprintf("%s-%s-%d", c.String("service"), strings.TrimPrefix(dc, "dc-"), i+1)
		address, err := serve("127.0.0.1:0", service.New(name, 0))
		if err != nil {
			return err
		}
		list.Put(platform.Target{Name: name, Address: address, Kind: "service", Service: c.String("service"), DataCentre: dc, State: "live"})
	}
	return nil
}

// serve runs a handler on an address in the background and returns the address that
// was opened.
func serve(address string, handler http.Handler) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}
