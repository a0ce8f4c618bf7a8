// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"

	"github.com/urfave/cli/v3"

	"havenwinch.dev/havenwinch/modules/digest"
)

// keyBytes is the number of random bytes in a new key.
const keyBytes = 24

// keyCommand returns the subcommand that generates an access key or operator key. Only
// its digest is ever sent to the fleet.
func keyCommand() *cli.Command {
	return &cli.Command{
		Name:  "key",
		Usage: "generate a key and its digest",
		Action: func(context.Context, *cli.Command) error {
			raw := make([]byte, keyBytes)
			if _, err := rand.Read(raw); err != nil {
				return err
			}
			key := "hw-" + hex.EncodeToString(raw)
			fmt.Printf("key     %s\ndigest  %s\n", key, digest.Of([]byte(key)))
			return nil
		},
	}
}
