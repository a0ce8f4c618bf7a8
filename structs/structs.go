// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package structs holds the JSON types of the HTTP APIs for callers and operators. They
// are separate from the stored types, so that either can change without the other.
package structs

// Run says whether a target has executed a request.
type Run string

// Values of Run.
const (
	RunNo      Run = "no"
	RunYes     Run = "yes"
	RunUnknown Run = "unknown"
)

// Kind is the error code of a refusal. Clients rely on it: the meaning of a code never
// changes.
type Kind string

// Error codes sent to callers and operators.
const (
	KindNoKey               Kind = "no_access_key"
	KindWrongKey            Kind = "wrong_access_key"
	KindMalformed           Kind = "malformed_request"
	KindInvalidField        Kind = "invalid_field"
	KindUnknownModel        Kind = "unknown_model"
	KindModelNotAllowed     Kind = "model_not_allowed"
	KindServiceNotAllowed   Kind = "service_not_allowed"
	KindPriorityNotAllowed  Kind = "priority_not_allowed"
	KindTooLarge            Kind = "body_too_large"
	KindDeadlinePast        Kind = "deadline_past"
	KindDeadlineCannotBeMet Kind = "deadline_cannot_be_met"
	KindBudgetExhausted     Kind = "budget_exhausted"
	KindBudgetUnreachable   Kind = "budget_unreachable"
	KindKeyConflict         Kind = "idempotency_key_conflict"
	KindKeyExpired          Kind = "idempotency_key_expired"
	KindOutcomeUnknown      Kind = "outcome_unknown"
	KindInProgress          Kind = "request_in_progress"
	KindAnswerNotKept       Kind = "answer_not_kept"
	KindNoTarget            Kind = "no_target"
	KindVersionUnknown      Kind = "version_unknown"
	KindVersionGone         Kind = "version_gone"
	KindOverloaded          Kind = "overloaded"
	KindBoxOverloaded       Kind = "overloaded_box"
	KindTargetFailed        Kind = "target_failed"
	KindQuarantined         Kind = "quarantined"
	KindAnswerTruncated     Kind = "answer_truncated"
	KindStopping            Kind = "box_stopping"
	KindNotReady            Kind = "box_not_ready"
	KindNotFound            Kind = "not_found"
	KindCancelled           Kind = "cancelled"
	KindInternal            Kind = "internal"
	KindNoLeader            Kind = "no_leader"
	KindSyntax              Kind = "syntax"
	KindRefused             Kind = "command_refused"
)

// ErrorBody is the JSON body of every refusal.
type ErrorBody struct {
	Error Error `json:"error"`
}

// Error describes what went wrong and what the client can do about it.
type Error struct {
	Kind    Kind   `json:"kind"`
	Message string `json:"message"`
	// Field is the name of the invalid field, if the error is about one.
	Field string `json:"field,omitempty"`
	// Run says whether the request was executed.
	Run       Run    `json:"run"`
	RequestID string `json:"request_id,omitempty"`
	// RetryAfter is in seconds; zero if retrying does not help.
	RetryAfter float64 `json:"retry_after,omitempty"`
	// Billed is the number of tokens charged for the request.
	Billed uint64 `json:"billed"`
}

// Message is one message of a chat conversation.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatRequest is the part of the body of POST /v1/chat/completions that is parsed here.
// The engine receives the body unchanged.
type ChatRequest struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	Stream    bool      `json:"stream"`
	MaxTokens *int64    `json:"max_tokens"`
	// MaxCompletionTokens is the name that replaces MaxTokens in newer clients.
	MaxCompletionTokens *int64 `json:"max_completion_tokens"`
	N                   *int64 `json:"n"`
}

// Usage counts the tokens of a request.
type Usage struct {
	PromptTokens     uint64 `json:"prompt_tokens"`
	CompletionTokens uint64 `json:"completion_tokens"`
	TotalTokens      uint64 `json:"total_tokens"`
}

// Model is one entry of GET /v1/models.
type Model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// ModelList is the response of GET /v1/models.
type ModelList struct {
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}

// RequestStatus is the response of GET /v1/requests/{key}.
type RequestStatus struct {
	Key string `json:"key"`
	// State is reserved, started, done, released, voided or unknown.
	State      string `json:"state"`
	Run        Run    `json:"run"`
	Reserved   uint64 `json:"reserved"`
	Billed     uint64 `json:"billed"`
	WrittenOff uint64 `json:"written_off,omitempty"`
	Target     string `json:"target,omitempty"`
	Model      string `json:"model,omitempty"`
	// AnswerAt is the place to fetch the answer from, if it is still stored.
	AnswerAt string `json:"answer_at,omitempty"`
}

// Command is the body of POST /admin/v1/commands.
type Command struct {
	Number uint64 `json:"number"`
	Text   string `json:"text"`
	// ExpectRevision, if not zero, is the revision of the configuration at which alone
	// the command takes effect.
	ExpectRevision uint64 `json:"expect_revision,omitempty"`
}

// CommandResult is the response to a command.
type CommandResult struct {
	Operator string `json:"operator"`
	Number   uint64 `json:"number"`
	// Refusal is the code of the refusal, empty if the command took effect.
	Refusal  string `json:"refusal,omitempty"`
	Message  string `json:"message"`
	Revision uint64 `json:"revision"`
}

// QueryResult is the response to a query.
type QueryResult struct {
	Revision uint64     `json:"revision"`
	Columns  []string   `json:"columns"`
	Rows     [][]string `json:"rows"`
}

// Event is one entry of a box's event timeline.
type Event struct {
	// Stamp is a hybrid logical clock timestamp, "milliseconds.counter".
	Stamp      string `json:"stamp"`
	Box        string `json:"box"`
	DataCentre string `json:"data_centre"`
	Kind       string `json:"kind"`
	Request    string `json:"request,omitempty"`
	Detail     string `json:"detail,omitempty"`
}

// BoxStatus is the response of GET /admin/v1/status.
type BoxStatus struct {
	Box        string   `json:"box"`
	DataCentre string   `json:"data_centre"`
	Roles      []string `json:"roles"`
	Version    string   `json:"version"`
	Ready      bool     `json:"ready"`
	Reason     string   `json:"reason,omitempty"`
	// Revision is the revision of the configuration active on this box, Confirmed the
	// number of seconds since a control box last confirmed it.
	Revision  uint64         `json:"revision"`
	Confirmed float64        `json:"confirmed_seconds_ago"`
	Control   *ControlStatus `json:"control,omitempty"`
	Entry     *EntryStatus   `json:"entry,omitempty"`
	Keeper    *KeeperStatus  `json:"keeper,omitempty"`
}

// ControlStatus is a control box's state in the Raft group.
type ControlStatus struct {
	Role   string `json:"role"`
	Term   uint64 `json:"term"`
	Leader string `json:"leader"`
	Commit uint64 `json:"commit"`
	Member bool   `json:"member"`
}

// EntryStatus is the load of an entry box and its view of the targets.
type EntryStatus struct {
	Running int            `json:"running"`
	Queued  int            `json:"queued"`
	Targets []TargetStatus `json:"targets"`
}

// TargetStatus is one target as an entry box sees it.
type TargetStatus struct {
	Name     string `json:"name"`
	State    string `json:"state"`
	InFlight int    `json:"in_flight"`
	Load     int    `json:"reported_load"`
}

// KeeperStatus is the size and state of a keeper's ledger.
type KeeperStatus struct {
	// Holder is the name of the ledger, "box@incarnation".
	Holder  string `json:"holder"`
	Budgets int    `json:"budgets"`
	Records int    `json:"records"`
	// Open is the number of requests that hold reservations.
	Open  int    `json:"open"`
	Error string `json:"error,omitempty"`
}
