//go:build hostedonly

package main

import "github.com/spf13/cobra"

// addOwnMode leaves the product's own mode out: on the users' platform most of a quiet process's memory is the pages of its program.
func addOwnMode(*cobra.Command) {}
