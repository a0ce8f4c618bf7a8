// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package metrics counts what a box does, for Prometheus.
package metrics

import (
	"strings"
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
	firstByte  *prometheus.HistogramVec
	forwarded  *prometheus.CounterVec
	refused    prometheus.Counter
	limits     *prometheus.CounterVec
	odd        *prometheus.CounterVec
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
		firstByte: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "first_byte_seconds", Help: "Time from a call's arrival to the first byte of its answer, by kind of route.",
			Buckets: []float64{.01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10},
		}, []string{"kind"}),
		forwarded: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "sends_total", Help: "Calls sent to targets, by service and status class or failure.",
		}, []string{"service", "outcome"}),
	}
	m.refused = prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: namespace, Name: "target_entries_refused_total", Help: "Entries of the list of targets that could not be used.",
	})
	m.limits = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "target_limits_total", Help: "What targets that name limits said, and what became of requests to them, by event.",
	}, []string{"event"})
	m.odd = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "odd_answers_total", Help: "Bytes of targets that are not the answer as agreed, by service and form.",
	}, []string{"service", "form"})
	m.Registry.MustRegister(m.odd, m.limits, m.refused, m.requests, m.firstToken, m.tokens, m.firstByte, m.forwarded, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

// Limit counts an event of targets that name limits.
func (m *Metrics) Limit(event string) { m.limits.WithLabelValues(event).Inc() }

// Odd counts bytes of targets that are not the answer as agreed.
func (m *Metrics) Odd(service, form string) { m.odd.WithLabelValues(service, form).Inc() }

// EntryRefused counts an entry of the list of targets that could not be used.
func (m *Metrics) EntryRefused() { m.refused.Inc() }

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

// FirstByte notes the time to the first byte of a call's answer.
func (m *Metrics) FirstByte(kind string, d time.Duration) {
	m.firstByte.WithLabelValues(kind).Observe(d.Seconds())
}

// Forwarded counts a send to a target; the outcome's first word is its label,
// so that there are few.
func (m *Metrics) Forwarded(service, outcome string) {
	word, _, _ := strings.Cut(outcome, " ")
	m.forwarded.WithLabelValues(service, word).Inc()
}
