package spread

import (
	"os"
	"slices"
	"time"

	"github.com/guavatrestle/guavatrestle/bench/cluster"
)

// processKind is a kind of process whose average cost is reported separately.
type processKind string

// Kinds of processes. A process that watches the object API counts as a watcher, whatever its role.
const (
	kindEntry   processKind = "entry"
	kindAgent   processKind = "agent"
	kindWatcher processKind = "watcher"
)

// Cost is the use of resources by the processes over a part of the run.
type Cost struct {
	// ControlBytes is the number of bytes read and written per second by a process, on average.
	ControlBytes float64 `json:"control_bytes_per_second"`
	// ControlBytesMax is that of the busiest process.
	ControlBytesMax float64 `json:"control_bytes_per_second_max"`
	// ControlBytesByKind is the average of each kind of process.
	ControlBytesByKind map[processKind]float64 `json:"control_bytes_per_second_of,omitempty"`
	// CPUByKind is the average share of a core of each kind of process.
	CPUByKind map[processKind]float64 `json:"cpu_seconds_per_second_of,omitempty"`
	// PlatformCalls is the number of calls of the object API per second by all processes together. An open watch counts
	// as one call per second.
	PlatformCalls float64 `json:"platform_calls_per_second"`
	// HostListReads is the number of reads of the host list per second by all processes together.
	HostListReads float64 `json:"host_list_reads_per_second"`
	// CPU is the share of a core that a process used, on average, and CPUMax that of the busiest process.
	CPU    float64 `json:"cpu_seconds_per_second"`
	CPUMax float64 `json:"cpu_seconds_per_second_max"`
	// Resident is the resident memory of a process, on average, and ResidentMax that of the largest process.
	Resident    float64 `json:"resident_bytes"`
	ResidentMax int64   `json:"resident_bytes_max"`
}

// measureCost measures the use of resources by all processes while workload runs.
func (r *run) measureCost(workload func() error) (Cost, error) {
	before, err := r.readUsage()
	if err != nil {
		return Cost{}, err
	}
	callsBefore, readsBefore, start := r.cluster.ObjectAPI.Counts().Total(), r.cluster.HostList.Counts().Reads, time.Now()
	if err := workload(); err != nil {
		return Cost{}, err
	}
	elapsed := time.Since(start).Seconds()
	counts := r.cluster.ObjectAPI.Counts()
	after, err := r.readUsage()
	if err != nil {
		return Cost{}, err
	}
	// An open watch counts as one call per second.
	out := Cost{PlatformCalls: float64(counts.Total()-callsBefore)/elapsed + float64(counts.OpenWatches)}
	out.HostListReads = float64(r.cluster.HostList.Counts().Reads-readsBefore) / elapsed
	if r.cfg.InProcess {
		out.addUsage(before[0], after[0], elapsed, float64(len(r.processes)))
		return out, nil
	}
	for i := range after {
		out.addUsage(before[i], after[i], elapsed, float64(len(after)))
	}
	out.ControlBytesByKind = r.averageByKind(func(i int) float64 { return float64(after[i].IOBytes-before[i].IOBytes) / elapsed })
	out.CPUByKind = r.averageByKind(func(i int) float64 { return (after[i].CPUSeconds - before[i].CPUSeconds) / elapsed })
	return out, nil
}

// addUsage adds a usage, divided by the number of processes, to the averages, and updates the maxima.
func (c *Cost) addUsage(before, after cluster.Usage, elapsed, processes float64) {
	bytes := float64(after.IOBytes-before.IOBytes) / elapsed
	cpu := (after.CPUSeconds - before.CPUSeconds) / elapsed
	c.ControlBytes += bytes / processes
	c.ControlBytesMax = max(c.ControlBytesMax, bytes)
	c.CPU += cpu / processes
	c.CPUMax = max(c.CPUMax, cpu)
	c.Resident += float64(after.ResidentBytes) / processes
	c.ResidentMax = max(c.ResidentMax, after.ResidentBytes)
}

// averageByKind returns the average of value(i) over the processes i of each kind.
func (r *run) averageByKind(value func(i int) float64) map[processKind]float64 {
	watchers := r.cluster.ObjectAPI.Watchers()
	sums, counts := make(map[processKind]float64), make(map[processKind]float64)
	for i, p := range r.processes {
		kind := kindAgent
		switch {
		case slices.Contains(watchers, string(p.Host.ID)):
			kind = kindWatcher
		case p.Host.Upstream == "":
			kind = kindEntry
		}
		sums[kind] += value(i)
		counts[kind]++
	}
	for kind := range sums {
		sums[kind] /= counts[kind]
	}
	return sums
}

// readUsage returns the usage of each process. If all of them run in the process of the experiment, it returns the
// usage of this process, which includes the stand-ins.
func (r *run) readUsage() ([]cluster.Usage, error) {
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
