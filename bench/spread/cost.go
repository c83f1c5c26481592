package spread

import (
	"os"
	"slices"
	"time"

	"github.com/guavatrestle/guavatrestle/bench/cluster"
)

// group is a kind of process whose costs are reported on their own.
type group string

// Groups. A watcher counts as a watcher whatever its role is.
const (
	groupEntry   group = "entry"
	groupAgent   group = "agent"
	groupWatcher group = "watcher"
)

// Cost is what the processes used over a part of the run.
type Cost struct {
	// ControlBytes is what one process read and wrote a second, on average.
	ControlBytes float64 `json:"control_bytes_per_second"`
	// ControlBytesMax is that of the busiest process.
	ControlBytesMax float64 `json:"control_bytes_per_second_max"`
	// ControlBytesByKind is the average of each kind of process.
	ControlBytesByKind map[group]float64 `json:"control_bytes_per_second_of,omitempty"`
	// CPUByKind is the average share of a core of each kind of process.
	CPUByKind map[group]float64 `json:"cpu_seconds_per_second_of,omitempty"`
	// PlatformCalls is the calls of the object API a second, all processes together.
	PlatformCalls float64 `json:"platform_calls_per_second"`
	// HostListReads is the reads of the host list a second, all processes together.
	HostListReads float64 `json:"host_list_reads_per_second"`
	// CPU is the share of a core that one process used, on average, and CPUMax that of the busiest.
	CPU    float64 `json:"cpu_seconds_per_second"`
	CPUMax float64 `json:"cpu_seconds_per_second_max"`
	// Resident is the resident memory of one process, on average, and ResidentMax that of the largest.
	Resident    float64 `json:"resident_bytes"`
	ResidentMax int64   `json:"resident_bytes_max"`
}

// cost measures what all processes use while part runs.
func (r *run) cost(part func() error) (Cost, error) {
	before, err := r.usage()
	if err != nil {
		return Cost{}, err
	}
	calls, reads, start := r.cluster.ObjectAPI.Counts().Total(), r.cluster.HostList.Counts().Reads, time.Now()
	if err := part(); err != nil {
		return Cost{}, err
	}
	elapsed := time.Since(start).Seconds()
	counts := r.cluster.ObjectAPI.Counts()
	after, err := r.usage()
	if err != nil {
		return Cost{}, err
	}
	// A waiting watch counts as one call a second.
	out := Cost{PlatformCalls: float64(counts.Total()-calls)/elapsed + float64(counts.OpenWatches)}
	out.HostListReads = float64(r.cluster.HostList.Counts().Reads-reads) / elapsed
	if r.cfg.InProcess {
		out.add(before[0], after[0], elapsed, float64(len(r.processes)))
		return out, nil
	}
	for i := range after {
		out.add(before[i], after[i], elapsed, float64(len(after)))
	}
	out.ControlBytesByKind = r.ofGroups(func(i int) float64 { return float64(after[i].IOBytes-before[i].IOBytes) / elapsed })
	out.CPUByKind = r.ofGroups(func(i int) float64 { return (after[i].CPUSeconds - before[i].CPUSeconds) / elapsed })
	return out, nil
}

func (c *Cost) add(before, after cluster.Usage, elapsed, n float64) {
	bytes := float64(after.IOBytes-before.IOBytes) / elapsed
	cpu := (after.CPUSeconds - before.CPUSeconds) / elapsed
	c.ControlBytes += bytes / n
	c.ControlBytesMax = max(c.ControlBytesMax, bytes)
	c.CPU += cpu / n
	c.CPUMax = max(c.CPUMax, cpu)
	c.Resident += float64(after.ResidentBytes) / n
	c.ResidentMax = max(c.ResidentMax, after.ResidentBytes)
}

// ofGroups returns the average of a figure over the processes of each kind.
func (r *run) ofGroups(figure func(i int) float64) map[group]float64 {
	watchers := r.cluster.ObjectAPI.Watchers()
	sums, members := make(map[group]float64), make(map[group]float64)
	for i, p := range r.processes {
		kind := groupAgent
		switch {
		case slices.Contains(watchers, string(p.Host.ID)):
			kind = groupWatcher
		case p.Host.Upstream == "":
			kind = groupEntry
		}
		sums[kind] += figure(i)
		members[kind]++
	}
	for kind := range sums {
		sums[kind] /= members[kind]
	}
	return sums
}

// usage returns the use of each process. Processes that run inside the experiment have one use, which holds the
// stand-ins' as well.
func (r *run) usage() ([]cluster.Usage, error) {
	if r.cfg.InProcess {
		usage, err := cluster.ReadUsageOf(os.Getpid())
		return []cluster.Usage{usage}, err
	}
	out := make([]cluster.Usage, 0, len(r.processes))
	for _, p := range r.processes {
		usage, err := p.ReadUsage()
		if err != nil {
			return nil, err
		}
		out = append(out, usage)
	}
	return out, nil
}
