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
	settleMinBackoff = 50 * time.Millisecond
	settleMaxBackoff = 5 * time.Second
	// settleMaxElapsed is how long a settlement is retried. By then the keeper has
	// settled the request itself as an orphan.
	settleMaxElapsed = time.Hour
)

// settler sends settlements to keepers and retries them until the keeper answers.
type settler struct {
	keepers Keepers
	logger  *slog.Logger

	mu      sync.Mutex
	pending int
	changed chan struct{}
}

func newSettler(keepers Keepers, logger *slog.Logger) *settler {
	return &settler{keepers: keepers, logger: logger, changed: make(chan struct{})}
}

// settle sends a settlement and waits for the response. On an error, the end of the
// context included, it goes on in the background.
func (s *settler) settle(ctx context.Context, box string, r *betweenv1.SettleRequest) (*betweenv1.SettleResponse, error) {
	resp, err := s.keepers.Settle(ctx, box, r)
	if err != nil {
		s.settleInBackground(box, r)
	}
	return resp, err
}

// settleInBackground sends a settlement without waiting for the response.
func (s *settler) settleInBackground(box string, r *betweenv1.SettleRequest) {
	s.addPending(1)
	go func() {
		defer s.addPending(-1)
		s.retry(box, r)
	}()
}

func (s *settler) retry(box string, r *betweenv1.SettleRequest) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval, wait.MaxInterval = settleMinBackoff, settleMaxBackoff
	_, err := backoff.Retry(context.Background(), func() (*betweenv1.SettleResponse, error) {
		ctx, cancel := context.WithTimeout(context.Background(), keeperTimeout)
		defer cancel()
		return s.keepers.Settle(ctx, box, r)
	}, backoff.WithBackOff(wait), backoff.WithMaxElapsedTime(settleMaxElapsed))
	if err != nil {
		s.logger.Error("giving up on a settlement that the keeper does not accept", "keeper", box, "error", err)
	}
}

func (s *settler) addPending(delta int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending += delta
	close(s.changed)
	s.changed = make(chan struct{})
}

// wait returns nil once no settlement is pending, or the context's error.
func (s *settler) wait(ctx context.Context) error {
	for {
		s.mu.Lock()
		open, changed := s.pending, s.changed
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
