// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package engine

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
)

// Orders sends orders to targets, which are addressed by name. It implements
// orders.Targets.
type Orders struct {
	Client *Client
	// Address returns a target's address, or "" if the target is not listed.
	Address func(target string) string
}

// wireOrder is the JSON encoding of an order.
type wireOrder struct {
	Token uint64 `json:"token"`
	Kind  string `json:"kind"`
	Value string `json:"value"`
}

func kindName(kind statev1.Order_Kind) string {
	if kind == statev1.Order_KIND_ROLE {
		return "role"
	}
	return "load"
}

// Send sends one order to a target.
func (o *Orders) Send(ctx context.Context, target string, order *statev1.Order) error {
	address := o.Address(target)
	if address == "" {
		return errors.Errorf("target %s is not listed", target)
	}
	body, err := json.Marshal(wireOrder{Token: order.GetToken(), Kind: kindName(order.GetKind()), Value: order.GetValue()})
	if err != nil {
		return errors.WithStack(err)
	}
	return o.Client.post(ctx, address, "/orders", "order", body)
}

// InForce returns the token of the order of a kind that a target has carried out last, zero
// if there is none.
func (o *Orders) InForce(ctx context.Context, target string, kind statev1.Order_Kind) (uint64, error) {
	address := o.Address(target)
	if address == "" {
		return 0, errors.Errorf("target %s is not listed", target)
	}
	var order wireOrder
	err := o.Client.query(ctx, fasthttp.MethodGet, address, "/orders/"+kindName(kind), "order in force", order.parse)
	return order.Token, err
}

func (c *Client) post(ctx context.Context, address, path, id string, body []byte) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + address + path)
	req.SetBodyRaw(body)
	return c.ask(ctx, address, id, req, func(status int, _ []byte) error {
		if status < fasthttp.StatusOK || status >= fasthttp.StatusMultipleChoices {
			return ErrStatus{Code: status}
		}
		return nil
	})
}

func (o *wireOrder) parse(body []byte) error {
	var wire struct {
		Token *uint64 `json:"token"`
	}
	if err := json.Unmarshal(body, &wire); err != nil {
		return err
	}
	if wire.Token == nil {
		return errNoField("token")
	}
	o.Token = *wire.Token
	return nil
}
