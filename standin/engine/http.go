// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
)

// truncateAfter is the number of words in a truncated stream.
const truncateAfter = 3

type chatBody struct {
	Model    string `json:"model"`
	Messages []struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	} `json:"messages"`
	MaxTokens int `json:"max_tokens"`
}

type chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int     `json:"index"`
	Delta        delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

type delta struct {
	Content string `json:"content,omitempty"`
}

type usage struct {
	PromptTokens     int          `json:"prompt_tokens"`
	CompletionTokens int          `json:"completion_tokens"`
	TotalTokens      int          `json:"total_tokens"`
	Details          usageDetails `json:"prompt_tokens_details"`
}

type usageDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// RunStatus is the engine's answer to a query for a run or its cancellation.
type RunStatus struct {
	Known            bool `json:"known"`
	Ended            bool `json:"ended"`
	PromptTokens     int  `json:"prompt_tokens"`
	CompletionTokens int  `json:"completion_tokens"`
}

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.chat)
	mux.HandleFunc("GET /v1/streams/{id}", e.resume)
	mux.HandleFunc("DELETE /v1/streams/{id}", e.cancel)
	mux.HandleFunc("GET /v1/streams/{id}/status", e.status)
	mux.HandleFunc("GET /load", e.load)
	mux.HandleFunc("GET /cache/events", e.events)
	mux.HandleFunc("POST /orders", e.takeOrder)
	mux.HandleFunc("GET /orders/{kind}", func(w http.ResponseWriter, r *http.Request) { reply(w, e.LastOrder(r.PathValue("kind"))) })
	mux.HandleFunc("POST /fault", e.setFault)
	return mux
}

func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	var body chatBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.countReceived()
	fault := e.takeFault()
	switch fault {
	case FaultClose:
		panic(http.ErrAbortHandler)
	case FaultError:
		http.Error(w, "broken", http.StatusInternalServerError)
		return
	case FaultHang:
		<-r.Context().Done()
		return
	}
	run := e.Start(e.promptOf(r, body))
	if _, _, cancelled, _ := run.wordsAfter(0); cancelled {
		http.Error(w, "this run was cancelled", http.StatusConflict)
		return
	}
	if fault == FaultRunAndClose {
		panic(http.ErrAbortHandler)
	}
	e.stream(w, r, run, 0, fault)
}

func (e *Engine) promptOf(r *http.Request, body chatBody) Prompt {
	p := Prompt{ID: r.Header.Get("X-Request-Id"), Model: body.Model, Scope: r.Header.Get("X-Cache-Scope"), MaxTokens: body.MaxTokens}
	for _, m := range body.Messages {
		p.Text += m.Role + "\n" + m.Content + "\n"
	}
	if r.Header.Get("X-Priority") == "interactive" {
		p.Priority = 1
	}
	return p
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	run := e.Find(r.PathValue("id"))
	if run == nil || run.PromptTokens == 0 {
		http.Error(w, "no such run", http.StatusNotFound)
		return
	}
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	e.stream(w, r, run, after, FaultNone)
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, run *Run, sent int, fault Fault) {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := w.(http.Flusher)
	flusher.Flush()
	for {
		words, ended, cancelled, changed := run.wordsAfter(sent)
		for _, word := range words {
			sent++
			e.sendWord(w, run, sent, word, fault)
			if sent == truncateAfter && (fault == FaultTruncate || fault == FaultTruncateAndForget) {
				if fault == FaultTruncateAndForget {
					e.Forget(run.ID)
				}
				panic(http.ErrAbortHandler)
			}
		}
		if ended {
			finish(w, run, cancelled)
			return
		}
		flusher.Flush()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

func (e *Engine) sendWord(w http.ResponseWriter, run *Run, sequence int, word string, fault Fault) {
	c := chunk{ID: run.ID, Object: "chat.completion.chunk", Model: run.Model, Choices: []choice{{Delta: delta{Content: word}}}}
	if fault == FaultWrongRun && sequence == 2 {
		c.ID, c.Choices[0].Delta.Content = "another-run", "foreign "
	}
	send(w, sequence, c)
	if fault == FaultDuplicate && sequence == 2 {
		send(w, sequence, c)
	}
}

func finish(w http.ResponseWriter, run *Run, cancelled bool) {
	reason := "length"
	if cancelled {
		reason = "cancelled"
	}
	prompt, completion, _ := run.Usage()
	c := chunk{ID: run.ID, Object: "chat.completion.chunk", Model: run.Model, Choices: []choice{{FinishReason: &reason}}}
	c.Usage = &usage{PromptTokens: prompt, CompletionTokens: completion, TotalTokens: prompt + completion, Details: usageDetails{CachedTokens: run.Cached}}
	send(w, completion+1, c)
	fmt.Fprint(w, "data: [DONE]\n\n")
}

func send(w http.ResponseWriter, sequence int, c chunk) {
	data, err := json.Marshal(c)
	if err != nil {
		return
	}
	fmt.Fprintf(w, "id: %d\ndata: %s\n\n", sequence, data)
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	run, known := e.Cancel(r.PathValue("id"))
	prompt, completion, _ := run.Usage()
	reply(w, RunStatus{Known: known, Ended: true, PromptTokens: prompt, CompletionTokens: completion})
}

func (e *Engine) status(w http.ResponseWriter, r *http.Request) {
	run := e.Find(r.PathValue("id"))
	if run == nil {
		reply(w, RunStatus{})
		return
	}
	prompt, completion, ended := run.Usage()
	reply(w, RunStatus{Known: run.PromptTokens > 0, Ended: ended, PromptTokens: prompt, CompletionTokens: completion})
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	running, queued, prompt := e.Load()
	reply(w, struct {
		Running      int `json:"running"`
		Queued       int `json:"queued"`
		PromptQueued int `json:"prompt_queued"`
	}{running, queued, prompt})
}

func (e *Engine) events(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	epoch, events := e.Events(r.URL.Query().Get("epoch"), after)
	reply(w, struct {
		Epoch  string  `json:"epoch"`
		Events []Event `json:"events"`
	}{epoch, events})
}

func (e *Engine) takeOrder(w http.ResponseWriter, r *http.Request) {
	var body Order
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.ApplyOrder(body) {
		http.Error(w, "an order with a newer token was taken before", http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) setFault(w http.ResponseWriter, r *http.Request) {
	n, err := strconv.Atoi(r.URL.Query().Get("count"))
	if err != nil {
		n = 1
	}
	e.SetFault(Fault(r.URL.Query().Get("kind")), n)
	w.WriteHeader(http.StatusNoContent)
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
