// Package enginemodel forecasts when a model engine starts and ends a request, from the figures that engines publish, from an engine's
// last report and from what a host has sent to it since. It is pure: callers pass in all times and serialize access.
package enginemodel

import (
	"time"

	"github.com/guavatrestle/guavatrestle/state/fleet"
)

const (
	// maxStep and maxStride bound published figures; a pass beyond them is taken for a mistake of units.
	maxStep   = 10 * time.Second
	maxStride = 1000
	// maxForecast bounds all forecasts; no deadline is longer.
	maxForecast = 24 * time.Hour
	// maxUsualTokens bounds the published lengths of requests.
	maxUsualTokens = 1 << 24
	// minPace and maxPace bound the reported pace, so that a wrong one can't make a replica look free or unusable for good.
	minPace, maxPace = 0.5, 10
	// passesToFirstEvent is the mean number of passes of a busy engine from the arrival of a request to its first event: half a pass until
	// the next one begins, one that reads the prompt and one that writes.
	passesToFirstEvent = 2.5
	// usualSlowdown is the factor by which contexts and prompts prolong the service of a request, about right for published figures.
	usualSlowdown = 1.4
)

// Model holds the published figures of the engines of an upstream.
type Model struct {
	slots int
	// step, perSequence, perContextToken, perPromptToken and perPair are in seconds.
	step, perSequence, perContextToken, perPromptToken, perPair float64
	stride                                                      float64
	// chunk is the number of prompt tokens that are read in one step, 0 if there is no bound.
	chunk                    float64
	cacheTokens              float64
	usualPrompt, usualOutput float64
}

// New returns the Model of engines with a number of slots, or nil if a figure that it needs is absent or out of range.
func New(p *fleet.EnginePerformance, slots int) *Model {
	if p == nil || slots <= 0 || p.Step <= 0 || p.Step > maxStep || p.PerSequence < 0 || p.PerSequence > maxStep ||
		p.ContextPerK < 0 || p.ContextPerK > maxStep || p.PairsPerMillion < 0 || p.PairsPerMillion > maxStep ||
		!(p.ReadTokensPerSecond > 0) || p.Stride < 0 || p.Stride > maxStride || p.MaxReadTokens < 0 || p.CacheTokens < 0 ||
		p.UsualPromptTokens <= 0 || p.UsualPromptTokens > maxUsualTokens ||
		p.UsualOutputTokens <= 0 || p.UsualOutputTokens > maxUsualTokens {
		return nil
	}
	return &Model{
		slots: slots, step: p.Step.Seconds(), perSequence: p.PerSequence.Seconds(), perContextToken: p.ContextPerK.Seconds() / 1e3,
		perPromptToken: 1 / p.ReadTokensPerSecond, perPair: p.PairsPerMillion.Seconds() / 1e6, stride: float64(max(p.Stride, 1)),
		chunk: float64(p.MaxReadTokens), cacheTokens: float64(p.CacheTokens),
		usualPrompt: float64(p.UsualPromptTokens), usualOutput: float64(p.UsualOutputTokens),
	}
}

// Load is what a host knows of an engine at a time.
type Load struct {
	Running, Waiting int
	// CacheUsed and CacheTotal are the sizes in the engine's report, in any unit; 0 means unknown.
	CacheUsed, CacheTotal int64
	// Pace is the present service time as a multiple of the usual one, 0 if unknown.
	Pace float64
	// Sent holds what this host has sent since the report was made.
	Sent Sent
	// Age is the time since the report was made, Share the share of the engine's requests that come from this host.
	Age   time.Duration
	Share float64
}

// Sent sums up requests that an engine's report doesn't include yet.
type Sent struct {
	Count int
	// Prompt and Output are sums of tokens.
	Prompt, Output int
	// Since is the time since the first of them.
	Since time.Duration
}

// Work is the size of a request in tokens; 0 means unknown.
type Work struct{ Prompt, Output int }

// Forecast is what is expected of a request that is sent to an engine now.
type Forecast struct {
	// FirstEvent and End are the times to the first and the last event.
	FirstEvent, End time.Duration
	// Pause is the time between two events.
	Pause time.Duration
	// Service is the time for which a usual request occupies a slot.
	Service time.Duration
	// SlotFree is the time until the engine has a slot for the request.
	SlotFree time.Duration
	// FreeTokens is the number of tokens for which the engine's cache has room; it is negative if its requests need more.
	FreeTokens int
}

// state is the state of an engine as the formulas need it, with times in seconds.
type state struct {
	pace, writers, queued, context, free float64
	// step is the time of a step, service the time from the start of a usual request to its end.
	step, service float64
	// slowdown is the factor by which reading prompts of other requests prolongs a pass.
	slowdown float64
}

// Forecast returns the forecast for a request.
func (m *Model) Forecast(load *Load, work Work) Forecast {
	prompt, output := m.sizes(work)
	s := m.state(load)
	slot := m.slotFree(&s, prompt+output)
	pass := m.stride * s.step * s.slowdown
	first := slot + m.backlog(load, &s) + m.firstEvent(&s, prompt, pass)
	events := max(output/m.stride-1, 0)
	return Forecast{
		FirstEvent: seconds(first), End: seconds(first + events*pass), Pause: seconds(pass), Service: seconds(s.service), SlotFree: seconds(slot),
		FreeTokens: int(s.free),
	}
}

// Fits reports whether an engine's cache has room for a request.
func (m *Model) Fits(f Forecast, work Work) bool {
	if m.cacheTokens == 0 {
		return true
	}
	prompt, output := m.sizes(work)
	return float64(f.FreeTokens) >= prompt+output
}

// sizes returns the tokens of a request, with the usual ones where they are unknown.
func (m *Model) sizes(work Work) (prompt, output float64) {
	prompt, output = float64(work.Prompt), float64(work.Output)
	if work.Prompt <= 0 {
		prompt = m.usualPrompt
	}
	if work.Output <= 0 {
		output = m.usualOutput
	}
	return prompt, output
}

func (m *Model) state(load *Load) state {
	present := float64(max(load.Running, 0) + max(load.Waiting, 0) + load.Sent.Count)
	s := state{pace: 1}
	if load.Pace > 0 {
		s.pace = min(max(load.Pace, minPace), maxPace)
	}
	present -= m.ended(load, s.pace)
	s.writers = min(present, float64(m.slots))
	s.queued = present - s.writers
	sent := float64(load.Sent.Prompt + load.Sent.Output)
	s.context = s.writers * (m.usualPrompt + m.usualOutput/2)
	s.free = m.cacheTokens - s.context - sent
	if load.CacheTotal > 0 && m.cacheTokens > 0 {
		used := min(float64(max(load.CacheUsed, 0))/float64(load.CacheTotal), 1) * m.cacheTokens
		s.context = used + float64(load.Sent.Prompt)
		s.free = m.cacheTokens - used - sent
	}
	s.step = s.pace * (m.step + m.perSequence*s.writers + m.perContextToken*s.context)
	writing := m.usualOutput * s.step
	// While one request is served, each of the others is replaced once, and its prompt delays all.
	s.service = writing + max(s.writers, 1)*m.read(&s, m.usualPrompt)
	s.slowdown = s.service / writing
	return s
}

// ended returns the number of requests that have ended since the report and are replaced by those that this host has sent. What other
// hosts have sent since replaces the rest, on average.
func (m *Model) ended(load *Load, pace float64) float64 {
	running := float64(min(max(load.Running, 0), m.slots))
	service := m.usualOutput * pace * (m.step + m.perSequence*running) * usualSlowdown
	return load.Share * running * min(load.Age.Seconds()/service, 1)
}

// read returns the time to read a prompt.
func (m *Model) read(s *state, tokens float64) float64 {
	return s.pace * (tokens*m.perPromptToken + tokens*tokens/2*m.perPair)
}

// slotFree returns the time until there is a slot and room in the cache for a request of a size. With n requests in service, one
// ends every service/n on average.
func (m *Model) slotFree(s *state, tokens float64) float64 {
	if s.writers == 0 {
		return 0
	}
	ending := s.service / s.writers
	// The number of requests is an expectation and may lie between two whole ones.
	wait := max(s.writers+s.queued-float64(m.slots-1), 0) * ending
	if lacking := tokens - s.free; m.cacheTokens > 0 && lacking > 0 {
		// Each request that ends frees its part of the cache.
		wait = max(wait, lacking/max(s.context/s.writers, 1)*ending)
	}
	return wait
}

// backlog returns the time that is left to read the prompts which this host has sent since the report.
func (m *Model) backlog(load *Load, s *state) float64 {
	if load.Sent.Count == 0 {
		return 0
	}
	average := float64(load.Sent.Prompt) / float64(load.Sent.Count)
	return max(float64(load.Sent.Count)*m.read(s, average)-load.Sent.Since.Seconds(), 0)
}

// firstEvent returns the time from the arrival of a request at an engine with a free slot to its first event.
func (m *Model) firstEvent(s *state, prompt, pass float64) float64 {
	read := m.read(s, prompt)
	if s.writers == 0 {
		return read + s.pace*m.step*(m.steps(prompt)+m.stride)
	}
	// The pass that reads the prompt has stride steps; a longer prompt takes the steps beyond them too.
	further := max(m.steps(prompt)-m.stride, 0) * s.step
	return passesToFirstEvent*pass + read + further
}

// steps returns the number of steps in which a prompt is read.
func (m *Model) steps(prompt float64) float64 {
	if m.chunk == 0 {
		return 1
	}
	return max(prompt/m.chunk, 1)
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxForecast.Seconds()) * float64(time.Second))
}
