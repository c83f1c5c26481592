package admission_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/guavatrestle/guavatrestle/coordination/admission"
	"github.com/guavatrestle/guavatrestle/state/core"
)

const (
	coldLimit    = 2
	warmLimit    = 6
	warmup       = 3
	maxReportAge = 5 * time.Second
)

// version is the model version that the modelled back end holds.
var version = core.DigestOf([]byte("weights"))

// running is one request in flight.
type running struct {
	ticket admission.Ticket
	// sent says that the request reached the back end in its boot and cold period.
	sent   bool
	boot   int
	period int
}

// world models a back end that restarts silently, and the agent's requests to it.
//
// The oracle counts what reached each boot of the back end and what it answered since it last became cold. It reads
// nothing from the gate but admissions and refusals.
type world struct {
	gate     *admission.Gate
	now      time.Time
	requests []running
	boot     int
	complete bool
	leaving  bool
	out      bool
	loading  bool
	// lastRead is the time of the last status read and readBoot the boot that it saw.
	lastRead time.Time
	readBoot int
	// doubted says that no status was read since the last doubt.
	doubted bool
	// period counts the returns to cold, and answered the requests sent and answered in this period.
	period   int
	answered int
}

func newWorld() *world {
	gate := admission.New(admission.Config{
		ColdLimit: coldLimit, WarmLimit: warmLimit, WarmupCompletions: warmup,
		Versioned: true, MaxReportAge: maxReportAge,
	})
	return &world{gate: gate, now: time.Unix(0, 0), boot: 1, complete: true, doubted: true}
}

func (w *world) cool() {
	w.period++
	w.answered = 0
}

func (w *world) read() {
	if w.doubted || w.readBoot != w.boot {
		w.cool()
	}
	w.gate.Observe(w.now, admission.Report{BootID: fmt.Sprint(w.boot), Digest: version, Complete: w.complete, ReadAt: w.now})
	w.doubted = false
	w.readBoot = w.boot
	w.lastRead = w.now
}

func (w *world) atBackEnd() int {
	n := 0
	for _, r := range w.requests {
		if r.sent && r.boot == w.boot {
			n++
		}
	}
	return n
}

// mayAdmit is the oracle for the conditions that close the gate.
func (w *world) mayAdmit() bool {
	return !w.leaving && !w.out && !w.loading && !w.doubted
}

// send lets a request leave on a connection to the current boot, as the transport does: the boot is identified, then
// the admission is confirmed.
func (w *world) send(t *rapid.T, i int) {
	if i < 0 || w.requests[i].sent {
		return
	}
	if w.readBoot != w.boot {
		w.read()
	}
	ticket, reason := w.gate.Confirm(w.now, w.requests[i].ticket)
	if reason != admission.ReasonNone {
		w.requests = slices.Delete(w.requests, i, i+1)
		return
	}
	require.False(t, w.doubted || w.out || w.loading, "a request left while the back end was in doubt, out or loading")
	w.requests[i] = running{ticket: ticket, sent: true, boot: w.boot, period: w.period}
	require.LessOrEqual(t, w.atBackEnd(), w.bound(), "the back end has answered %d requests since it became cold", w.answered)
}

// bound is the load that the back end bears after the requests it answered since it became cold.
func (w *world) bound() int {
	if w.answered >= warmup {
		return warmLimit
	}
	return coldLimit + (warmLimit-coldLimit)*w.answered/warmup
}

func (w *world) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"admit": w.admit,
		"work": func(t *rapid.T) {
			for range rapid.IntRange(1, 2*warmLimit).Draw(t, "requests") {
				w.admit(t)
				w.send(t, len(w.requests)-1)
			}
			for range rapid.IntRange(0, 2*warmLimit).Draw(t, "answers") {
				if i, ok := w.pick(t, true); ok {
					w.answer(i)
				}
			}
		},
		"admit other version": func(t *rapid.T) {
			digest := rapid.SampledFrom([]core.Digest{"", core.DigestOf([]byte("other"))}).Draw(t, "digest")
			_, reason := w.gate.Admit(w.now, admission.Request{Digest: digest})
			require.NotEqual(t, admission.ReasonNone, reason, "admitted a version that the back end does not hold")
		},
		"send": func(t *rapid.T) {
			if i, ok := w.pick(t, false); ok {
				w.send(t, i)
			}
		},
		"answer": func(t *rapid.T) {
			if i, ok := w.pick(t, true); ok {
				w.answer(i)
			}
		},
		"restart": func(t *rapid.T) {
			w.boot++
			w.cool()
			if i, ok := w.pick(t, true); ok && rapid.Bool().Draw(t, "reset seen at once") {
				w.answer(i)
				w.admit(t)
			}
		},
		"offer": func(t *rapid.T) {
			grant := w.gate.Offer(w.now, rapid.SampledFrom([]core.HostID{"entry-1", "entry-2"}).Draw(t, "entry"))
			if !w.mayAdmit() {
				require.Zero(t, grant.Slots, "offered work while the gate must be closed")
			} else if w.readBoot == w.boot {
				require.LessOrEqual(t, grant.Slots, max(w.bound()-w.atBackEnd(), 0), "offered more than the free slots")
			}
		},
		"cancel": func(t *rapid.T) {
			if i, ok := w.pick(t, false); ok {
				w.gate.Finish(w.now, w.requests[i].ticket, admission.OutcomeNeutral)
				w.requests = slices.Delete(w.requests, i, i+1)
			}
		},
		"lose or gain the version": func(t *rapid.T) {
			if w.complete && !rarely(t) {
				return
			}
			w.complete = !w.complete
			w.read()
		},
		"read status": func(*rapid.T) { w.read() },
		"fail status read": func(t *rapid.T) {
			if !rarely(t) {
				return
			}
			w.gate.InvalidateReport(w.now)
			w.doubted = true
		},
		"wait": func(t *rapid.T) {
			w.now = w.now.Add(time.Duration(rapid.IntRange(1, 4).Draw(t, "seconds")) * time.Second)
			w.doubted = w.doubted || w.now.Sub(w.lastRead) > maxReportAge
		},
		"load": func(t *rapid.T) {
			if !w.loading && !rarely(t) {
				return
			}
			w.loading = !w.loading
			w.gate.SetLoading(w.loading)
			w.cool()
		},
		"service": func(t *rapid.T) {
			if !w.out && !rarely(t) {
				return
			}
			w.setOut(!w.out)
			if w.out && rapid.Bool().Draw(t, "back at once") {
				w.admit(t)
				w.setOut(false)
			}
		},
		"leave": func(t *rapid.T) {
			if rapid.IntRange(0, 24).Draw(t, "very rarely") == 0 {
				w.leaving = true
				w.gate.SetLeaving()
			}
		},
	}
}

func (w *world) setOut(out bool) {
	w.out = out
	w.gate.SetInService(!out)
	w.cool()
}

// admit asks for admission and checks that the gate was allowed to grant it.
func (w *world) admit(t *rapid.T) {
	ticket, reason := w.gate.Admit(w.now, admission.Request{Digest: version})
	if reason != admission.ReasonNone {
		return
	}
	require.True(t, w.mayAdmit(), "admitted while the gate must be closed")
	require.True(t, w.complete || w.readBoot != w.boot, "admitted without a complete version")
	w.requests = append(w.requests, running{ticket: ticket})
}

func (w *world) pick(t *rapid.T, sent bool) (int, bool) {
	var of []int
	for i, r := range w.requests {
		if r.sent == sent {
			of = append(of, i)
		}
	}
	if len(of) == 0 {
		return 0, false
	}
	return rapid.SampledFrom(of).Draw(t, "request"), true
}

// answer ends a request: with a whole response, or with a reset when its boot is gone.
func (w *world) answer(i int) {
	r := w.requests[i]
	w.requests = slices.Delete(w.requests, i, i+1)
	if r.boot != w.boot {
		w.gate.Finish(w.now, r.ticket, admission.OutcomeBroken)
		w.doubted = w.doubted || r.boot == w.readBoot
		return
	}
	w.gate.Finish(w.now, r.ticket, admission.OutcomeCompleted)
	if r.period == w.period {
		w.answered++
	}
}

// rarely keeps a disruptive action from hiding the states that only undisturbed work reaches.
func rarely(t *rapid.T) bool { return rapid.IntRange(0, 4).Draw(t, "rarely") == 0 }

// TestColdBackEndNeverGetsMoreThanItsLimit guards against load on a back end that restarted unnoticed.
func TestColdBackEndNeverGetsMoreThanItsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { t.Repeat(newWorld().actions()) })
}

// TestCompletionsOfAnEarlierEpochDoNotWarm guards against warming a new boot by requests that it never ran.
func TestCompletionsOfAnEarlierEpochDoNotWarm(t *testing.T) {
	now := time.Unix(0, 0)
	gate := admission.New(admission.Config{ColdLimit: 1, WarmLimit: 4, WarmupCompletions: 1})
	gate.Observe(now, admission.Report{BootID: "a", ReadAt: now})
	ticket, reason := gate.Admit(now, admission.Request{})
	require.Equal(t, admission.ReasonNone, reason)
	gate.InvalidateReport(now)
	gate.Observe(now, admission.Report{BootID: "a", ReadAt: now})
	_, reason = gate.Admit(now, admission.Request{})
	require.Equal(t, admission.ReasonFull, reason, "the earlier request still occupies the same boot")
	gate.Finish(now, ticket, admission.OutcomeCompleted)
	require.Equal(t, core.UpstreamCold, gate.Snapshot(now).State)
}

// TestUnconfiguredGateAdmitsNothing guards against work before the settings say that the failure domain is in service.
func TestUnconfiguredGateAdmitsNothing(t *testing.T) {
	now := time.Unix(0, 0)
	gate := admission.New(admission.Config{})
	gate.Observe(now, admission.Report{BootID: "a", ReadAt: now})
	_, reason := gate.Admit(now, admission.Request{})
	require.Equal(t, admission.ReasonUnconfigured, reason)
}
