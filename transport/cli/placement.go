package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/go-resty/resty/v2"
	"github.com/spf13/cobra"

	"github.com/guavatrestle/guavatrestle/protocol/api"
	"github.com/guavatrestle/guavatrestle/transport/httphead"
)

// placementFlags are the flags of explain-placement.
type placementFlags struct {
	address, route, upstream, team, model string
	promptTokens, outputTokens            int
	late                                  bool
}

func (a *app) explainPlacementCommand() *cobra.Command {
	var f placementFlags
	cmd := &cobra.Command{
		Use:   "explain-placement --address HOST:PORT (--route NAME | --upstream NAME)",
		Short: "Explain where an entry would send a request now, and why, without sending it",
		Long: `Explains where an entry would send a request now, and why the other replicas would not get it. Nothing is sent to a
replica. --address is the debug address of a hosted entry, which needs no token.`,
		Example: `  guavatrestle explain-placement --address 10.0.0.7:7402 --route chat
  guavatrestle explain-placement --address 10.0.0.7:7402 --route chat --team litoral --prompt-tokens 3800 --output-tokens 200 --json`,
		Args: cobra.NoArgs,
		RunE: classifyErrors(func(cmd *cobra.Command, _ []string) error {
			if err := f.check(); err != nil {
				return err
			}
			return a.explainPlacement(cmd.Context(), &f)
		}),
	}
	flags := cmd.Flags()
	flags.StringVar(&f.address, "address", "", "host and port of an entry's debug listener")
	flags.StringVar(&f.route, "route", "", "name of the request's route")
	flags.StringVar(&f.upstream, "upstream", "", "upstream of the request, instead of a route")
	flags.StringVar(&f.team, "team", "", "name of the caller's team")
	flags.StringVar(&f.model, "model", "", "model of the request (default the only one of the upstream)")
	flags.IntVar(&f.promptTokens, "prompt-tokens", 0, "size of the prompt (default unknown)")
	flags.IntVar(&f.outputTokens, "output-tokens", 0, "expected size of the answer (default unknown)")
	flags.BoolVar(&f.late, "late", false, "explain a request that can't meet its latency objective any more")
	return cmd
}

func (f *placementFlags) check() error {
	if _, _, err := net.SplitHostPort(f.address); err != nil {
		return inputError{fmt.Errorf("--address: want HOST:PORT, got %q", f.address)}
	}
	if (f.route == "") == (f.upstream == "") {
		return inputError{errors.New("either --route or --upstream is required, and not both")}
	}
	if f.promptTokens < 0 || f.outputTokens < 0 {
		return inputError{errors.New("--prompt-tokens and --output-tokens must not be negative")}
	}
	return nil
}

func (f *placementFlags) query() map[string]string {
	query := map[string]string{
		"prompt_tokens": strconv.Itoa(f.promptTokens), "output_tokens": strconv.Itoa(f.outputTokens), "late": strconv.FormatBool(f.late),
	}
	for name, value := range map[string]string{"route": f.route, "upstream": f.upstream, "team": f.team, "model": f.model} {
		if value != "" {
			query[name] = value
		}
	}
	return query
}

func (a *app) explainPlacement(ctx context.Context, f *placementFlags) error {
	client := resty.New().SetTimeout(a.timeout)
	httphead.CheckResponses(client.GetClient())
	response, err := client.R().SetContext(ctx).SetQueryParams(f.query()).
		Get("http://" + f.address + "/debug/placement")
	if err != nil {
		return fmt.Errorf("call the debug listener: %w", err)
	}
	if response.StatusCode() != http.StatusOK {
		refusal := &refusalError{status: response.StatusCode()}
		if json.Unmarshal(response.Body(), &refusal.AdminRefusal) != nil {
			refusal.Message = "the response body is not an error of the entry"
		}
		return refusal
	}
	var placement api.Placement
	if err := json.Unmarshal(response.Body(), &placement); err != nil {
		return fmt.Errorf("decode the response of the debug listener: %w", err)
	}
	if a.json {
		_, err = a.Out.Write(response.Body())
		return err
	}
	return a.print(placement, func(w io.Writer) { printPlacement(w, &placement) })
}

func printPlacement(w io.Writer, p *api.Placement) {
	for _, line := range [][2]string{{"route", p.Route}, {"team", string(p.Team)}, {"model", string(p.Model)}} {
		if line[1] != "" {
			fmt.Fprintf(w, "%s\t%s\n", line[0], line[1])
		}
	}
	fmt.Fprintf(w, "priority\t%d\n", p.Priority)
	for i := range p.Targets {
		if i > 0 {
			fmt.Fprintln(w)
		}
		printPlacementTarget(w, &p.Targets[i])
	}
}

func printPlacementTarget(w io.Writer, t *api.PlacementTarget) {
	fmt.Fprintf(w, "upstream\t%s, gets %.2f of the requests\n", t.Upstream, t.Share)
	if wait := t.Wait; wait != nil {
		fmt.Fprintf(w, "waiting\t%d, of which %d ahead, forecast %s\n", wait.Waiting, wait.Ahead, formatMS(wait.ForecastMS))
		if wait.Refusal != "" {
			fmt.Fprintf(w, "may not wait\t%s\n", wait.Refusal)
		}
	}
	verdict := t.Verdict
	if t.HeldMS > 0 {
		verdict += ", for " + formatMS(t.HeldMS)
	}
	if !t.Certain {
		verdict += ", if this host has a permit"
	}
	fmt.Fprintf(w, "verdict\t%s\n", verdict)
	if t.Likely != "" {
		fmt.Fprintf(w, "likely\t%s\n", t.Likely)
	}
	fmt.Fprintln(w, "\nREPLICA\tDOMAIN\tRESULT\tCHANCE\tSCORE\tFIRST EVENT\tLOAD\tREPORT AGE")
	for i := range t.Candidates {
		c := &t.Candidates[i]
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d/%d\t%s\n", c.Replica, c.FailureDomain, formatResult(c), formatRating(c), c.Load, c.Slots, formatAge(c))
	}
}

// formatResult returns why a replica takes no request, or what speaks against it.
func formatResult(c *api.PlacementCandidate) string {
	switch {
	case c.Reason != "" && c.UntilMS > 0:
		return c.Reason + " for " + formatMS(c.UntilMS)
	case c.Reason != "":
		return c.Reason
	case c.NoRoom:
		return "candidate without room in its cache"
	case c.PhaseUnknown:
		return "candidate if this host has a permit"
	}
	return "candidate"
}

// formatRating returns the columns from the probability to the expected first event.
func formatRating(c *api.PlacementCandidate) string {
	if c.Reason != "" {
		return "-\t-\t-"
	}
	first := "-"
	if c.FirstEventMS > 0 {
		first = formatMS(c.FirstEventMS)
	}
	return fmt.Sprintf("%.3f\t%.3f\t%s", c.Probability, c.Score, first)
}

func formatAge(c *api.PlacementCandidate) string {
	if c.ReportAgeMS == nil {
		return "no report"
	}
	return formatMS(*c.ReportAgeMS)
}

func formatMS(ms float64) string {
	return time.Duration(ms * float64(time.Millisecond)).Round(time.Millisecond).String()
}
