// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package metrics holds the Prometheus metrics of a box.
package metrics

import (
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

const namespace = "havenwinch"

// Metrics are the counters and histograms of a box.
type Metrics struct {
	Registry       *prometheus.Registry
	requests       *prometheus.CounterVec
	firstToken     *prometheus.HistogramVec
	events         prometheus.Counter
	firstByte      *prometheus.HistogramVec
	sends          *prometheus.CounterVec
	entriesRefused prometheus.Counter
	limits         *prometheus.CounterVec
	oddAnswers     *prometheus.CounterVec
	relays         *prometheus.CounterVec
	streamRecords  *prometheus.CounterVec
	// returns counts calls that take up a stream.
	returns *prometheus.CounterVec
}

// New returns metrics in a registry of their own, together with those of the Go runtime and
// the process.
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
		events: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "events_total", Help: "Events of answers carried to callers.",
		}),
		firstByte: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "first_byte_seconds", Help: "Time from a call's arrival to the first byte of its answer, by kind of route.",
			Buckets: []float64{.01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10},
		}, []string{"kind"}),
		sends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "sends_total", Help: "Calls sent to targets, by service and status class or failure.",
		}, []string{"service", "outcome"}),
	}
	m.entriesRefused = prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: namespace, Name: "target_entries_refused_total", Help: "Entries of the list of targets that could not be used.",
	})
	m.limits = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "target_limits_total", Help: "What targets that name limits said, and what became of requests to them, by event.",
	}, []string{"event"})
	m.oddAnswers = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "odd_answers_total", Help: "Bytes of targets that are not the answer as agreed, by service and form.",
	}, []string{"service", "form"})
	m.relays = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "carried_connections_total", Help: "Connections to targets that other boxes asked this one to carry, by outcome.",
	}, []string{"outcome"})
	m.streamRecords = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "stream_records_total", Help: "Records of the software that began a stream, sent to other boxes, by outcome.",
	}, []string{"outcome"})
	m.returns = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "returns_total", Help: "Calls that took up a stream which had begun before, by service and outcome.",
	}, []string{"service", "outcome"})
	m.Registry.MustRegister(m.returns, m.streamRecords, m.relays, m.oddAnswers, m.limits, m.entriesRefused, m.requests, m.firstToken, m.events, m.firstByte, m.sends, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

// Limit counts an event of targets that report limits.
func (m *Metrics) Limit(event string) { m.limits.WithLabelValues(event).Inc() }

// Odd counts occurrences of bytes from a target that are not a valid answer.
func (m *Metrics) Odd(service, form string) { m.oddAnswers.WithLabelValues(service, form).Inc() }

// Relay counts a connection that another box asked this one to carry, by outcome.
func (m *Metrics) Relay(outcome string) { m.relays.WithLabelValues(outcome).Inc() }

// StreamRecord counts a record of a stream that was sent to another box, by outcome.
func (m *Metrics) StreamRecord(outcome string) { m.streamRecords.WithLabelValues(outcome).Inc() }

// EntryRefused counts an unusable entry of the list of targets.
func (m *Metrics) EntryRefused() { m.entriesRefused.Inc() }

// Gauge registers a gauge. read is called whenever the metrics are collected.
func (m *Metrics) Gauge(name, help string, read func() float64) {
	m.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, read))
}

// gaugeVec is a gauge with labels whose values are read whenever the metrics are collected.
type gaugeVec struct {
	desc *prometheus.Desc
	read func(set func(value float64, labels ...string))
}

// Describe implements prometheus.Collector.
func (g *gaugeVec) Describe(descs chan<- *prometheus.Desc) { descs <- g.desc }

// Collect implements prometheus.Collector.
func (g *gaugeVec) Collect(metrics chan<- prometheus.Metric) {
	g.read(func(value float64, labels ...string) {
		metrics <- prometheus.MustNewConstMetric(g.desc, prometheus.GaugeValue, value, labels...)
	})
}

// GaugeVec registers a gauge with labels. read is called whenever the metrics are collected, and
// passes each value on.
func (m *Metrics) GaugeVec(name, help string, labels []string, read func(set func(value float64, labels ...string))) {
	m.Registry.MustRegister(&gaugeVec{desc: prometheus.NewDesc(namespace+"_"+name, help, labels, nil), read: read})
}

// Done counts a request by its outcome.
func (m *Metrics) Done(organisation, outcome string) {
	m.requests.WithLabelValues(organisation, outcome).Inc()
}

// Returned counts a call that takes up a stream, by its outcome.
func (m *Metrics) Returned(service, outcome string) {
	m.returns.WithLabelValues(service, outcome).Inc()
}

// FirstToken records the time from the admission of a request to its first token.
func (m *Metrics) FirstToken(interactive bool, d time.Duration) {
	priority := "batch"
	if interactive {
		priority = "interactive"
	}
	m.firstToken.WithLabelValues(priority).Observe(d.Seconds())
}

// Tokens counts events of answers.
func (m *Metrics) Tokens(n uint64) { m.events.Add(float64(n)) }

// FirstByte records the time from the arrival of a call to the first byte of its answer.
func (m *Metrics) FirstByte(kind string, d time.Duration) {
	m.firstByte.WithLabelValues(kind).Observe(d.Seconds())
}

// Forwarded counts a call sent to a target. Only the first word of the outcome is used as a
// label, so that the number of time series stays small.
func (m *Metrics) Forwarded(service, outcome string) {
	word, _, _ := strings.Cut(outcome, " ")
	m.sends.WithLabelValues(service, word).Inc()
}
