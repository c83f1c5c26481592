package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/guavatrestle/guavatrestle/platform/platformtest"
)

const (
	// callerHost is the host name that all routes match.
	callerHost = "soak.example"
	// callerDeadline is the deadline of each request.
	callerDeadline = 1500 * time.Millisecond
	// meanCallerPause is the mean pause between two requests of a caller.
	meanCallerPause = 25 * time.Millisecond
	// sharedParts is the number of second parts of prompts.
	sharedParts = 8
	// crashingPart is the part of a prompt on which workers crash, and crashingPromptInterval the number of requests of a caller of
	// which one has it, if it is a stream.
	crashingPart           = "dead"
	crashingPromptInterval = 20
)

// caller sends one request after the other. It stays with an entry, and keeps its connection to it open, until a
// request gets no response or a 5xx status.
type caller struct {
	fleet  *fleet
	number int
	random *rand.Rand
	client *http.Client
	entry  string
}

func newCaller(f *fleet, number int) *caller {
	return &caller{fleet: f, number: number, random: rand.New(rand.NewPCG(f.seed, uint64(number)+1)), client: newClient()}
}

func newClient() *http.Client { return &http.Client{Transport: &http.Transport{}} }

func (c *caller) run(ctx context.Context) {
	for number := 0; ctx.Err() == nil; number++ {
		if c.entry == "" {
			c.client.CloseIdleConnections()
			c.client = newClient()
			c.entry = c.fleet.pickEntry(c.random)
		}
		request := c.nextRequest(number)
		c.fleet.checker.recordRequest(request)
		response := c.send(ctx, request)
		c.fleet.checker.recordResponse(request.id, response)
		if response.status == 0 || response.status >= http.StatusInternalServerError {
			c.entry = ""
		}
		time.Sleep(time.Duration(c.random.Int64N(int64(2 * meanCallerPause))))
	}
	c.client.CloseIdleConnections()
}

// nextRequest returns a request of a random kind.
func (c *caller) nextRequest(number int) sentRequest {
	kinds := []requestKind{kindSafe, kindUnsafe, kindStream, kindStream}
	s := sentRequest{
		id: fmt.Sprintf("c%d-%d", c.number, number), method: http.MethodPost, kind: kinds[c.random.IntN(len(kinds))],
		key: c.fleet.keys[c.random.IntN(len(c.fleet.keys))], team: teamName, at: time.Now(),
		entry: c.entry,
	}
	s.path = "/" + string(s.kind) + "/x?n=" + strconv.Itoa(number)
	if s.kind == kindStream {
		s.promptParts = c.prompt(number)
	}
	s.body = strings.Repeat("prompt of "+s.id+" ", 1+c.random.IntN(30))
	return s
}

// prompt returns the parts of a prompt: one that all prompts share, one that some share and one of its own. While workers crash on a
// part, some prompts have it as the second one.
func (c *caller) prompt(number int) []string {
	second := fmt.Sprintf("b%d", number%sharedParts)
	if c.fleet.crashingPrompts.Load() && number%crashingPromptInterval == c.number {
		second = crashingPart
	}
	return []string{"a0", second, fmt.Sprintf("c%x%04x", c.number, number)}
}

func (c *caller) send(ctx context.Context, s sentRequest) receivedResponse {
	// A caller that stops lets its last request run until its deadline.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callerDeadline)
	defer cancel()
	request, err := platformtest.CallerRequest{
		ID: s.id, Method: s.method, Host: callerHost, Path: s.path, Body: s.body, Key: s.key, Model: modelName,
		PromptParts: s.promptParts, Deadline: callerDeadline,
	}.Request(ctx, c.entry)
	if err != nil {
		return receivedResponse{}
	}
	response, err := c.client.Do(request)
	if err != nil {
		return receivedResponse{}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return receivedResponse{
		status: response.StatusCode, stamp: platformtest.ResponseStamp(response), body: string(body), complete: err == nil,
	}
}
