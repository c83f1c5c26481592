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
	coldLimit         = 2
	warmLimit         = 6
	warmupCompletions = 3
	maxReportAge      = 5 * time.Second
)

// version is the model version loaded by the modeled back end.
var version = core.DigestOf([]byte("weights"))

// modelRequest is an admitted request.
type modelRequest struct {
	ticket admission.Ticket
	// sent is true if the request reached the back end, in the given boot and cold period.
	sent       bool
	boot       int
	coldPeriod int
}

// backEndModel models a back end that can restart unnoticed, and the requests of its agent.
//
// It serves as the oracle: it counts the requests that reached each boot of the back end and the responses since the back
// end last became cold. Of the gate it uses only the admissions and refusals.
type backEndModel struct {
	gate         *admission.Gate
	now          time.Time
	requests     []modelRequest
	boot         int
	complete     bool
	leaving      bool
	outOfService bool
	loading      bool
	// lastRead is the time of the last status read, observedBoot the boot that it returned.
	lastRead     time.Time
	observedBoot int
	// unidentified is true if no status was read since the report was last invalidated.
	unidentified bool
	// coldPeriod counts the resets to cold; responses counts the requests sent and completed in the current cold period.
	coldPeriod int
	responses  int
}

func newBackEndModel() *backEndModel {
	gate := admission.New(admission.Config{
		ColdLimit: coldLimit, WarmLimit: warmLimit, WarmupCompletions: warmupCompletions,
		Versioned: true, MaxReportAge: maxReportAge,
	})
	return &backEndModel{gate: gate, now: time.Unix(0, 0), boot: 1, complete: true, unidentified: true}
}

func (m *backEndModel) resetToCold() {
	m.coldPeriod++
	m.responses = 0
}

func (m *backEndModel) readStatus() {
	if m.unidentified || m.observedBoot != m.boot {
		m.resetToCold()
	}
	m.gate.Observe(m.now, admission.Report{BootID: fmt.Sprint(m.boot), Digest: version, Complete: m.complete, ReadAt: m.now})
	m.unidentified = false
	m.observedBoot = m.boot
	m.lastRead = m.now
}

func (m *backEndModel) inFlightAtBackEnd() int {
	n := 0
	for _, r := range m.requests {
		if r.sent && r.boot == m.boot {
			n++
		}
	}
	return n
}

// mayAdmit reports whether the gate may admit requests at all.
func (m *backEndModel) mayAdmit() bool {
	return !m.leaving && !m.outOfService && !m.loading && !m.unidentified
}

// send sends a request on a connection to the current boot in the order that the transport uses: it identifies the boot,
// then confirms the admission.
func (m *backEndModel) send(t *rapid.T, i int) {
	if i < 0 || m.requests[i].sent {
		return
	}
	if m.observedBoot != m.boot {
		m.readStatus()
	}
	ticket, reason := m.gate.Confirm(m.now, m.requests[i].ticket)
	if reason != admission.ReasonNone {
		m.requests = slices.Delete(m.requests, i, i+1)
		return
	}
	require.False(t, m.unidentified || m.outOfService || m.loading, "request sent while the back end was unidentified, out of service or loading")
	m.requests[i] = modelRequest{ticket: ticket, sent: true, boot: m.boot, coldPeriod: m.coldPeriod}
	require.LessOrEqual(t, m.inFlightAtBackEnd(), m.expectedLimit(), "limit exceeded after %d responses since the back end became cold", m.responses)
}

// expectedLimit returns the allowed load after the responses since the back end became cold.
func (m *backEndModel) expectedLimit() int {
	if m.responses >= warmupCompletions {
		return warmLimit
	}
	return coldLimit + (warmLimit-coldLimit)*m.responses/warmupCompletions
}

func (m *backEndModel) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"admit": m.admit,
		"work": func(t *rapid.T) {
			for range rapid.IntRange(1, 2*warmLimit).Draw(t, "requests") {
				m.admit(t)
				m.send(t, len(m.requests)-1)
			}
			for range rapid.IntRange(0, 2*warmLimit).Draw(t, "answers") {
				if i, ok := m.drawRequest(t, true); ok {
					m.endRequest(i)
				}
			}
		},
		"admit other version": func(t *rapid.T) {
			digest := rapid.SampledFrom([]core.Digest{"", core.DigestOf([]byte("other"))}).Draw(t, "digest")
			_, reason := m.gate.Admit(m.now, admission.Request{Digest: digest})
			require.NotEqual(t, admission.ReasonNone, reason, "admitted a version that the back end has not loaded")
		},
		"send": func(t *rapid.T) {
			if i, ok := m.drawRequest(t, false); ok {
				m.send(t, i)
			}
		},
		"answer": func(t *rapid.T) {
			if i, ok := m.drawRequest(t, true); ok {
				m.endRequest(i)
			}
		},
		"restart": func(t *rapid.T) {
			m.boot++
			m.resetToCold()
			if i, ok := m.drawRequest(t, true); ok && rapid.Bool().Draw(t, "reset seen at once") {
				m.endRequest(i)
				m.admit(t)
			}
		},
		"offer": func(t *rapid.T) {
			grant := m.gate.Offer(m.now, rapid.SampledFrom([]core.HostID{"entry-1", "entry-2"}).Draw(t, "entry"))
			if !m.mayAdmit() {
				require.Zero(t, grant.Slots, "offered slots while the gate must be closed")
			} else if m.observedBoot == m.boot {
				require.LessOrEqual(t, grant.Slots, max(m.expectedLimit()-m.inFlightAtBackEnd(), 0), "offered more than the free slots")
			}
		},
		"cancel": func(t *rapid.T) {
			if i, ok := m.drawRequest(t, false); ok {
				m.gate.Finish(m.now, m.requests[i].ticket, admission.OutcomeNeutral)
				m.requests = slices.Delete(m.requests, i, i+1)
			}
		},
		"lose or gain the version": func(t *rapid.T) {
			if m.complete && !rarely(t) {
				return
			}
			m.complete = !m.complete
			m.readStatus()
		},
		"read status": func(*rapid.T) { m.readStatus() },
		"fail status read": func(t *rapid.T) {
			if !rarely(t) {
				return
			}
			m.gate.InvalidateReport(m.now)
			m.unidentified = true
		},
		"wait": func(t *rapid.T) {
			m.now = m.now.Add(time.Duration(rapid.IntRange(1, 4).Draw(t, "seconds")) * time.Second)
			m.unidentified = m.unidentified || m.now.Sub(m.lastRead) > maxReportAge
		},
		"load": func(t *rapid.T) {
			if !m.loading && !rarely(t) {
				return
			}
			m.loading = !m.loading
			m.gate.SetLoading(m.loading)
			m.resetToCold()
		},
		"service": func(t *rapid.T) {
			if !m.outOfService && !rarely(t) {
				return
			}
			m.setOutOfService(!m.outOfService)
			if m.outOfService && rapid.Bool().Draw(t, "back at once") {
				m.admit(t)
				m.setOutOfService(false)
			}
		},
		"leave": func(t *rapid.T) {
			if rapid.IntRange(0, 24).Draw(t, "very rarely") == 0 {
				m.leaving = true
				m.gate.SetLeaving()
			}
		},
	}
}

func (m *backEndModel) setOutOfService(out bool) {
	m.outOfService = out
	m.gate.SetInService(!out)
	m.resetToCold()
}

// admit requests admission and, if it is granted, checks that it may be.
func (m *backEndModel) admit(t *rapid.T) {
	ticket, reason := m.gate.Admit(m.now, admission.Request{Digest: version})
	if reason != admission.ReasonNone {
		return
	}
	require.True(t, m.mayAdmit(), "admitted while the gate must be closed")
	require.True(t, m.complete || m.observedBoot != m.boot, "admitted without a complete version")
	m.requests = append(m.requests, modelRequest{ticket: ticket})
}

func (m *backEndModel) drawRequest(t *rapid.T, sent bool) (int, bool) {
	var candidates []int
	for i, r := range m.requests {
		if r.sent == sent {
			candidates = append(candidates, i)
		}
	}
	if len(candidates) == 0 {
		return 0, false
	}
	return rapid.SampledFrom(candidates).Draw(t, "request"), true
}

// endRequest ends a request with a complete response, or with a connection reset if the back end has restarted since.
func (m *backEndModel) endRequest(i int) {
	r := m.requests[i]
	m.requests = slices.Delete(m.requests, i, i+1)
	if r.boot != m.boot {
		m.gate.Finish(m.now, r.ticket, admission.OutcomeBroken)
		m.unidentified = m.unidentified || r.boot == m.observedBoot
		return
	}
	m.gate.Finish(m.now, r.ticket, admission.OutcomeCompleted)
	if r.coldPeriod == m.coldPeriod {
		m.responses++
	}
}

// rarely makes disruptive actions infrequent, so that runs also reach the states that need undisturbed requests.
func rarely(t *rapid.T) bool { return rapid.IntRange(0, 4).Draw(t, "rarely") == 0 }

// TestColdBackEndNeverGetsMoreThanItsLimit guards against overload of a back end that restarted unnoticed and is cold again.
func TestColdBackEndNeverGetsMoreThanItsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { t.Repeat(newBackEndModel().actions()) })
}

// TestCompletionsOfAnEarlierEpochDoNotWarm guards against raising the limit by requests that were admitted before the last
// reset to cold.
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

// TestUnconfiguredGateAdmitsNothing guards against requests before the settings confirm that the failure domain is in
// service.
func TestUnconfiguredGateAdmitsNothing(t *testing.T) {
	now := time.Unix(0, 0)
	gate := admission.New(admission.Config{})
	gate.Observe(now, admission.Report{BootID: "a", ReadAt: now})
	_, reason := gate.Admit(now, admission.Request{})
	require.Equal(t, admission.ReasonUnconfigured, reason)
}
