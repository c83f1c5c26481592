package hotpath_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/guavatrestle/guavatrestle/coordination/admission"
	"github.com/guavatrestle/guavatrestle/coordination/routing"
	"github.com/guavatrestle/guavatrestle/protocol/frame"
	"github.com/guavatrestle/guavatrestle/protocol/wire"
	"github.com/guavatrestle/guavatrestle/state/core"
)

const (
	upstream  = core.Upstream("guava-llm")
	digest    = core.Digest("v1")
	requestID = core.RequestID("0f2c")
)

var domains = []core.FailureDomain{"centro-a", "norte-a", "sur-a"}

// BenchmarkChoose measures the choice of an agent for a request.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("agents=%d", n), func(b *testing.B) {
			snapshot := routing.Snapshot{
				Agents:    agents(n),
				InService: func(core.FailureDomain) bool { return true },
				OwnDomain: domains[0],
			}
			request := routing.Request{Upstream: upstream, Digest: digest}
			random := rand.New(rand.NewPCG(1, 2))
			b.ReportAllocs()
			for b.Loop() {
				_, ok := routing.Choose(snapshot, request, random)
				if !ok {
					b.Fatal("no agent is eligible")
				}
			}
		})
	}
}

func agents(n int) []core.AgentStatus {
	out := make([]core.AgentStatus, n)
	for i := range out {
		out[i] = core.AgentStatus{
			Host: core.Host{
				ID:            core.HostID(fmt.Sprintf("worker-%d", i)),
				FailureDomain: domains[i%len(domains)],
				Upstream:      upstream,
				State:         core.HostLive,
			},
			VersionDigest: digest,
			State:         core.UpstreamWarm,
			InFlight:      i % 8,
			Limit:         8,
		}
	}
	return out
}

// BenchmarkGate measures the admission and the completion of a request.
func BenchmarkGate(b *testing.B) {
	now := time.Unix(0, 0)
	gate := admission.New(admission.Config{ColdLimit: 2, WarmLimit: 8, WarmupCompletions: 4, Versioned: true, MaxReportAge: time.Hour})
	gate.Observe(now, admission.Report{BootID: "1", Digest: digest, Complete: true, ReadAt: now})
	b.ReportAllocs()
	for b.Loop() {
		ticket, reason := gate.Admit(now, admission.Request{Digest: digest, Entry: "entry-1"})
		if reason != admission.ReasonNone {
			b.Fatal("the gate refused a request")
		}
		gate.Finish(now, ticket, admission.OutcomeCompleted)
	}
}

// BenchmarkFrames measures writing and reading a response of 20 data frames.
func BenchmarkFrames(b *testing.B) {
	const frames = 20
	for _, size := range []int{64, 4 << 10, 32 << 10} {
		b.Run(fmt.Sprintf("payload=%d", size), func(b *testing.B) {
			payload := bytes.Repeat([]byte("x"), size)
			var buffer bytes.Buffer
			b.SetBytes(int64(frames * size))
			b.ReportAllocs()
			for b.Loop() {
				buffer.Reset()
				writeResponse(b, &buffer, payload, frames)
				readResponse(b, &buffer)
			}
		})
	}
}

func writeResponse(b *testing.B, buffer *bytes.Buffer, payload []byte, frames int) {
	out := frame.NewWriter(buffer, requestID)
	if err := out.Head(&wire.Head{Status: 200}); err != nil {
		b.Fatal(err)
	}
	for range frames {
		if err := out.Data(payload); err != nil {
			b.Fatal(err)
		}
	}
	if err := out.End(nil); err != nil {
		b.Fatal(err)
	}
}

func readResponse(b *testing.B, buffer *bytes.Buffer) {
	in := frame.NewReader(buffer, requestID)
	for {
		f, err := in.Next()
		if err != nil {
			b.Fatal(err)
		}
		if f.GetEnd() != nil {
			return
		}
	}
}
