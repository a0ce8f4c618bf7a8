// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rig2

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// callTime is how long a caller of the control boxes waits for an answer before it asks the next one.
const callTime = time.Second

// Object is a JSON object.
type Object = map[string]any

// Call sends one request to a control box and returns the status and the body.
func Call(client *http.Client, method, address, path string, body any) (int, []byte, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, nil, err
	}
	if body == nil {
		data = nil
	}
	r, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return 0, nil, err
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	return resp.StatusCode, answer, err
}

// NewClient returns an HTTP client that uses a new connection for each call.
func NewClient(timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
}

// PutConfiguration sends a configuration to one control box after the other until it is acknowledged.
func (f *Fleet) PutConfiguration(configuration Object, limit time.Duration) error {
	client := NewClient(4 * time.Second)
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		for _, address := range f.Registries() {
			status, answer, err := Call(client, http.MethodPut, address, "/api/configuration", configuration)
			f.Record.Printf("operator PUT configuration %v at %s: %d %v", configuration["version"], address, status, err)
			if err == nil && status == http.StatusOK {
				return nil
			}
			if status >= 400 && status < 500 {
				return fmt.Errorf("the configuration was refused: %d %s", status, answer)
			}
		}
	}
	return fmt.Errorf("the configuration was not acknowledged")
}

// Limits are the limits of a configuration.
func Limits() Object {
	return Object{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
}

// AwaitReady asks entry boxes whether they are ready until all have answered 200.
func (f *Fleet) AwaitReady(boxes []*Box, limit time.Duration) error {
	client := NewClient(callTime)
	end := time.Now().Add(limit)
	for _, b := range boxes {
		for {
			status, _, err := Call(client, http.MethodGet, b.ReadyAddress(), "/api/readyz", nil)
			if err == nil && status == http.StatusOK {
				f.Record.Printf("%s is ready", b.Name)
				break
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready: %d %v", b.Name, status, err)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
