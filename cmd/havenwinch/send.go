// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"
	"github.com/valyala/fasthttp"

	"havenwinch.dev/havenwinch/structs"
)

// sendCommand returns the subcommand that sends a request as a caller, prints the
// answer while it arrives and then the tokens billed.
func sendCommand() *cli.Command {
	return &cli.Command{
		Name:      "send",
		Usage:     "send a request as a caller",
		ArgsUsage: "PROMPT",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "caller", Usage: "address of a box's caller listener", Value: "127.0.0.1:7000", Sources: env("caller")},
			&cli.StringFlag{Name: "key", Usage: "access key of a group", Sources: env("key")},
			&cli.StringFlag{Name: "model", Usage: "model to call", Required: true},
			&cli.Int64Flag{Name: "max-tokens", Usage: "limit of generated tokens", Value: 32},
			&cli.StringFlag{Name: "idempotency-key", Usage: "key that makes it safe to send the request again"},
			&cli.StringFlag{Name: "urgency", Usage: "0 to 3 interactive, 4 to 7 batch"},
			&cli.BoolFlag{Name: "not-repeatable", Usage: "run at most once"},
			&cli.IntFlag{Name: "wait", Usage: "deadline of the request, in seconds from now"},
		},
		Action: send,
	}
}

// streamEvent holds the parts of a stream's events that the tool uses.
type streamEvent struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Havenwinch *struct {
		RequestID string `json:"request_id"`
		Billed    uint64 `json:"billed"`
	} `json:"havenwinch"`
	Error *structs.Error `json:"error"`
}

func send(_ context.Context, c *cli.Command) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	if err := buildRequest(c, req); err != nil {
		return err
	}
	conn, answer, err := open(c.String("caller"), req, time.Time{})
	if err != nil {
		return noAnswer(err)
	}
	defer conn.Close()
	if answer.Status != fasthttp.StatusOK {
		data, err := readBody(answer)
		if err != nil {
			return noAnswer(err)
		}
		var e structs.ErrorBody
		if json.Unmarshal(data, &e) != nil {
			return &failure{code: exitError, message: fmt.Sprintf("status %d", answer.Status)}
		}
		return refusalOf(e.Error)
	}
	lines := bufio.NewScanner(answer.Body)
	lines.Split(splitWholeLines)
	return printAnswer(lines)
}

func noAnswer(err error) error {
	return &failure{code: exitUnreachable, message: fmt.Sprintf("the request got no answer (%v): send it again under the same idempotency key", err)}
}

// splitWholeLines is bufio.ScanLines without a last line that has no end, as that may be cut off.
func splitWholeLines(data []byte, _ bool) (int, []byte, error) { return bufio.ScanLines(data, false) }

func buildRequest(c *cli.Command, req *fasthttp.Request) error {
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + c.String("caller") + "/v1/chat/completions")
	req.Header.SetContentType("application/json")
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.String("key"))
	if key := c.String("idempotency-key"); key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	if urgency := c.String("urgency"); urgency != "" {
		req.Header.Set("Priority", "u="+urgency)
	}
	if c.Bool("not-repeatable") {
		req.Header.Set("Havenwinch-Repeatable", "no")
	}
	if seconds := c.Int("wait"); seconds != 0 {
		req.Header.Set("Prefer", "wait="+strconv.Itoa(seconds))
	}
	limit := c.Int64("max-tokens")
	body, err := json.Marshal(structs.ChatRequest{
		Model:     c.String("model"),
		Messages:  []structs.Message{{Role: "user", Content: strings.Join(c.Args().Slice(), " ")}},
		Stream:    true,
		MaxTokens: &limit,
	})
	req.SetBody(body)
	return err
}

func printAnswer(lines *bufio.Scanner) error {
	complete := false
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			complete = true
			break
		}
		var e streamEvent
		if err := json.Unmarshal([]byte(data), &e); err != nil {
			return err
		}
		if e.Error != nil {
			fmt.Println()
			return refusalOf(*e.Error)
		}
		for _, choice := range e.Choices {
			fmt.Print(choice.Delta.Content)
		}
		if e.Havenwinch != nil {
			fmt.Printf("\n[request %s billed %d tokens]\n", e.Havenwinch.RequestID, e.Havenwinch.Billed)
		}
	}
	if !complete {
		return &failure{code: exitUnknown, message: "the answer broke off: send it again under the same idempotency key"}
	}
	_ = os.Stdout.Sync()
	return nil
}
