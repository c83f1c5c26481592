package cluster

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/settings"
)

// State holds the part of a process's state dump that experiments read.
type State struct {
	Settings []settings.Document `json:"settings"`
	Members  []core.Host         `json:"members"`
	Role     json.RawMessage     `json:"role"`
}

// AgentState holds the role-specific part of an agent's state dump.
type AgentState struct {
	State     core.UpstreamState `json:"state"`
	InFlight  int                `json:"in_flight"`
	Limit     int                `json:"limit"`
	BootID    string             `json:"boot_id"`
	Digest    core.Digest        `json:"digest"`
	Complete  bool               `json:"complete"`
	Leaving   bool               `json:"leaving"`
	InService bool               `json:"in_service"`
}

// ReadState reads the state dump of the process.
func (p *Process) ReadState(ctx context.Context) (State, error) {
	var state State
	return state, p.getJSON(ctx, "/debug/state", &state)
}

// ReadAgentState reads the role-specific part of an agent's state dump.
func (p *Process) ReadAgentState(ctx context.Context) (AgentState, error) {
	var agent AgentState
	state, err := p.ReadState(ctx)
	if err != nil {
		return agent, err
	}
	return agent, eris.Wrap(json.Unmarshal(state.Role, &agent), "decode agent state")
}

// ReadAgentStatuses reads the latest agent statuses that an entry has received, by host ID.
func (p *Process) ReadAgentStatuses(ctx context.Context) (map[core.HostID]core.AgentStatus, error) {
	state, err := p.ReadState(ctx)
	if err != nil {
		return nil, err
	}
	var agents []core.AgentStatus
	if err := json.Unmarshal(state.Role, &agents); err != nil {
		return nil, eris.Wrap(err, "decode entry state")
	}
	out := make(map[core.HostID]core.AgentStatus, len(agents))
	for _, agent := range agents {
		out[agent.Host.ID] = agent
	}
	return out, nil
}

// ReadMetrics reads the process's expvar metrics.
func (p *Process) ReadMetrics(ctx context.Context) (map[string]json.RawMessage, error) {
	vars := make(map[string]json.RawMessage)
	return vars, p.getJSON(ctx, "/debug/vars", &vars)
}

func (p *Process) getJSON(ctx context.Context, path string, into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, p.ControlURL()+path, nil)
	if err != nil {
		return eris.Wrap(err, "build request")
	}
	response, err := p.client.Do(request)
	if err != nil {
		return eris.Wrapf(err, "read %s of %s", path, p.Host.ID)
	}
	defer func() { _ = response.Body.Close() }()
	return eris.Wrapf(json.NewDecoder(response.Body).Decode(into), "decode %s of %s", path, p.Host.ID)
}

// Usage holds the resource usage of a process.
type Usage struct {
	// CPUSeconds is the CPU time used since the start of the process.
	CPUSeconds float64 `json:"cpu_seconds"`
	// ResidentBytes is the resident set size.
	ResidentBytes int64 `json:"resident_bytes"`
	// IOBytes is the number of bytes read and written by system calls on sockets, files and pipes.
	IOBytes int64 `json:"io_bytes"`
}

// clockTicksPerSecond is the unit of CPU times in /proc/<pid>/stat.
const clockTicksPerSecond = 100

// ReadUsage reads the resource usage of the process.
func (p *Process) ReadUsage() (Usage, error) { return ReadUsageOf(p.PID()) }

// ReadUsageOf reads the resource usage of the process with the given ID.
func ReadUsageOf(pid int) (Usage, error) {
	dir := "/proc/" + strconv.Itoa(pid)
	stat, err := os.ReadFile(dir + "/stat")
	if err != nil {
		return Usage{}, eris.Wrap(err, "read CPU time")
	}
	statm, err := os.ReadFile(dir + "/statm")
	if err != nil {
		return Usage{}, eris.Wrap(err, "read resident memory")
	}
	io, err := os.ReadFile(dir + "/io")
	if err != nil {
		return Usage{}, eris.Wrap(err, "read I/O byte counts")
	}
	usage, err := parseUsage(string(stat), string(statm))
	usage.IOBytes = parseIO(string(io))
	return usage, err
}

// parseIO returns the sum of the lines "rchar: <bytes>" and "wchar: <bytes>".
func parseIO(io string) int64 {
	var total int64
	for line := range strings.Lines(io) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		if name != "rchar" && name != "wchar" {
			continue
		}
		n, _ := strconv.ParseInt(value, 10, 64)
		total += n
	}
	return total
}

func parseUsage(stat, statm string) (Usage, error) {
	// The command name in parentheses may contain spaces; the first field after it is the third, the state.
	const utime, stime, firstAfterName = 14, 15, 3
	fields := strings.Fields(stat[strings.LastIndexByte(stat, ')')+1:])
	pages := strings.Fields(statm)
	if len(fields) <= stime-firstAfterName || len(pages) < 2 {
		return Usage{}, eris.Errorf("unexpected format of process statistics: stat %q, statm %q", stat, statm)
	}
	user, err := strconv.ParseFloat(fields[utime-firstAfterName], 64)
	if err != nil {
		return Usage{}, eris.Wrap(err, "parse user time")
	}
	system, err := strconv.ParseFloat(fields[stime-firstAfterName], 64)
	if err != nil {
		return Usage{}, eris.Wrap(err, "parse system time")
	}
	resident, err := strconv.ParseInt(pages[1], 10, 64)
	if err != nil {
		return Usage{}, eris.Wrap(err, "parse resident pages")
	}
	usage := Usage{CPUSeconds: (user + system) / clockTicksPerSecond}
	usage.ResidentBytes = resident * int64(os.Getpagesize())
	return usage, nil
}
