package main

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
)

// options holds the values of the flags that the experiments share.
type options struct {
	binary string
	asJSON bool
	seed   uint64
}

// register adds the shared flags to a command.
func (o *options) register(cmd *cobra.Command) {
	cmd.Flags().StringVar(&o.binary, "binary", "bin/guavatrestled", "path of guavatrestled")
	cmd.Flags().BoolVar(&o.asJSON, "json", false, "print the report as one line of JSON")
	cmd.Flags().Uint64Var(&o.seed, "seed", 1, "seed of the random numbers")
}

// print writes a report as JSON, on one line or indented.
func (o *options) print(out io.Writer, report any) error {
	if o.asJSON {
		return json.NewEncoder(out).Encode(report)
	}
	body, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return eris.Wrap(err, "encode report")
	}
	_, err = fmt.Fprintln(out, string(body))
	return err
}
