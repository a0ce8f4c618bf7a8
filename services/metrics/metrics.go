// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package metrics counts what a box does, for Prometheus.
package metrics

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

const namespace = "havenwinch"

// Metrics are the counters of a box.
type Metrics struct {
	Registry   *prometheus.Registry
	requests   *prometheus.CounterVec
	firstToken *prometheus.HistogramVec
	tokens     prometheus.Counter
}

// New returns counters in a registry of their own.
func New() *Metrics {
	m := &Metrics{
		Registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "requests_total", Help: "Requests by organisation and outcome: done, or the kind of the refusal.",
		}, []string{"organisation", "outcome"}),
		firstToken: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "first_token_seconds", Help: "Time from admission to the first token.",
			Buckets: []float64{.01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10, 60},
		}, []string{"priority"}),
		tokens: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "events_total", Help: "Events of answers carried to callers.",
		}),
	}
	m.Registry.MustRegister(m.requests, m.firstToken, m.tokens, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

// Gauge adds a value that is read when it is asked for.
func (m *Metrics) Gauge(name, help string, read func() float64) {
	m.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, read))
}

// Done counts the outcome of a request.
func (m *Metrics) Done(organisation, outcome string) {
	m.requests.WithLabelValues(organisation, outcome).Inc()
}

// FirstToken notes the time to a request's first token.
func (m *Metrics) FirstToken(interactive bool, d time.Duration) {
	priority := "batch"
	if interactive {
		priority = "interactive"
	}
	m.firstToken.WithLabelValues(priority).Observe(d.Seconds())
}

// Tokens counts events of answers.
func (m *Metrics) Tokens(n uint64) { m.tokens.Add(float64(n)) }
