package examples

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/state/config"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/transport/cli"
)

// expectedUser holds what the requirements say about one user.
type expectedUser struct {
	failureDomains    []string
	agentsPerUpstream map[core.Upstream]int
}

var users = map[string]expectedUser{
	"litoral": {
		failureDomains:    []string{"centro-a", "norte-a", "sur-a"},
		agentsPerUpstream: map[core.Upstream]int{"guava-llm": 10, "pedidos": 3, "franquicias": 1},
	},
	"ajiboye": {
		failureDomains:    []string{"lagos-ikeja", "abuja-wuse", "ph-trans-amadi"},
		agentsPerUpstream: map[core.Upstream]int{"results-writer": 15, "hire-desk": 3, "depot-ledger": 1},
	},
}

// TestExampleSettingsAreValid guards against example settings that the command line and the admin API refuse.
func TestExampleSettingsAreValid(t *testing.T) {
	for name, want := range users {
		args := []string{"validate", "--json"}
		for _, file := range []string{"failure-domains.yaml", "upstreams.yaml", "teams.yaml"} {
			args = append(args, "-f", filepath.Join(name, "settings", file))
		}
		var out, errOut bytes.Buffer
		status := cli.Main(context.Background(), args, cli.Streams{Out: &out, Err: &errOut}, os.Getenv)
		require.Zero(t, status, errOut.String())
		const teams = 10
		var result struct{ Documents int }
		require.NoError(t, json.Unmarshal(out.Bytes(), &result))
		require.Equal(t, teams+len(want.failureDomains)+len(want.agentsPerUpstream), result.Documents)
	}
}

// TestExampleProcessesMatchTheRequirements guards against example hosts and process configurations whose names or agent
// counts differ from the users' requirements.
func TestExampleProcessesMatchTheRequirements(t *testing.T) {
	for name, want := range users {
		body, err := os.ReadFile(filepath.Join(name, "hosts.json"))
		require.NoError(t, err)
		var hosts []core.Host
		require.NoError(t, json.Unmarshal(body, &hosts))
		counts := make(map[core.Upstream]int)
		addresses := make(map[string]bool)
		for _, host := range hosts {
			require.Contains(t, want.failureDomains, string(host.FailureDomain))
			require.False(t, addresses[host.ControlAddr], host.ID)
			addresses[host.ControlAddr] = true
			if host.Role == core.RoleAgent {
				counts[host.Upstream]++
			}
		}
		require.Equal(t, want.agentsPerUpstream, counts)
		files, err := filepath.Glob(filepath.Join(name, "*.yaml"))
		require.NoError(t, err)
		require.Len(t, files, 1+len(want.agentsPerUpstream))
		for _, file := range files {
			cfg, err := config.Load(file)
			require.NoError(t, err)
			require.Contains(t, want.failureDomains, string(cfg.FailureDomain))
			require.Equal(t, strings.Contains(file, "entry"), cfg.Role == core.RoleEntry)
		}
	}
}
