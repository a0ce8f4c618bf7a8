// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
)

const (
	settleFirst = 50 * time.Millisecond
	settleMost  = 5 * time.Second
	// settleLimit is how long a bill is repeated. After it the keeper has seen
	// to the request itself, see its orphans.
	settleLimit = time.Hour
)

// settler brings bills to their keepers and repeats them until they answer.
type settler struct {
	keepers Keepers
	logger  *slog.Logger

	mu      sync.Mutex
	open    int
	changed chan struct{}
}

func newSettler(keepers Keepers, logger *slog.Logger) *settler {
	return &settler{keepers: keepers, logger: logger, changed: make(chan struct{})}
}

// now settles and waits for the answer until the context ends; after that the
// bill is brought in the background.
func (s *settler) now(ctx context.Context, box string, r *betweenv1.SettleRequest) (*betweenv1.SettleResponse, error) {
	resp, err := s.keepers.Settle(ctx, box, r)
	if err != nil {
		s.add(box, r)
	}
	return resp, err
}

// add settles in the background.
func (s *settler) add(box string, r *betweenv1.SettleRequest) {
	s.count(1)
	go func() {
		defer s.count(-1)
		s.repeat(box, r)
	}()
}

func (s *settler) repeat(box string, r *betweenv1.SettleRequest) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval, wait.MaxInterval = settleFirst, settleMost
	_, err := backoff.Retry(context.Background(), func() (*betweenv1.SettleResponse, error) {
		ctx, cancel := context.WithTimeout(context.Background(), keeperTimeout)
		defer cancel()
		return s.keepers.Settle(ctx, box, r)
	}, backoff.WithBackOff(wait), backoff.WithMaxElapsedTime(settleLimit))
	if err != nil {
		s.logger.Error("a bill could not be brought to its keeper", "keeper", box, "error", err)
	}
}

func (s *settler) count(delta int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open += delta
	close(s.changed)
	s.changed = make(chan struct{})
}

// wait returns once nothing is open.
func (s *settler) wait(ctx context.Context) error {
	for {
		s.mu.Lock()
		open, changed := s.open, s.changed
		s.mu.Unlock()
		if open == 0 {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
