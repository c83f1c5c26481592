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
	// callerHost is the host name of all routes.
	callerHost = "soak.example"
	// callerDeadline is the time that a caller gives a request.
	callerDeadline = 1500 * time.Millisecond
	// callerPause is the mean pause of a caller between two requests.
	callerPause = 25 * time.Millisecond
)

// caller sends requests one after the other, on a connection that it keeps for as long as the entry answers.
type caller struct {
	fleet  *fleet
	name   int
	random *rand.Rand
	client *http.Client
	entry  string
}

func newCaller(f *fleet, name int) *caller {
	return &caller{fleet: f, name: name, random: rand.New(rand.NewPCG(f.seed, uint64(name)+1)), client: newClient()}
}

func newClient() *http.Client { return &http.Client{Transport: &http.Transport{}} }

func (c *caller) work(ctx context.Context) {
	for number := 0; ctx.Err() == nil; number++ {
		if c.entry == "" {
			c.client.CloseIdleConnections()
			c.client = newClient()
			c.entry = c.fleet.pickEntry(c.random)
		}
		request := c.next(number)
		c.fleet.judge.send(request)
		answer := c.call(ctx, request)
		c.fleet.judge.answer(request.id, answer)
		if answer.status == 0 || answer.status >= http.StatusInternalServerError {
			c.entry = ""
		}
		time.Sleep(time.Duration(c.random.Int64N(int64(2 * callerPause))))
	}
	c.client.CloseIdleConnections()
}

// next makes a request of a random kind.
func (c *caller) next(number int) sent {
	kinds := []kind{kindSafe, kindUnsafe, kindStream, kindStream}
	s := sent{
		id: fmt.Sprintf("c%d-%d", c.name, number), method: http.MethodPost, kind: kinds[c.random.IntN(len(kinds))],
		key: c.fleet.keys[c.random.IntN(len(c.fleet.keys))], team: teamName, at: time.Now(),
	}
	s.path = "/" + string(s.kind) + "/x?n=" + strconv.Itoa(number)
	s.body = strings.Repeat("prompt of "+s.id+" ", 1+c.random.IntN(30))
	return s
}

func (c *caller) call(ctx context.Context, s sent) got {
	// A caller that stops gives its last request the time that is left.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callerDeadline)
	defer cancel()
	request, err := platformtest.CallerRequest{
		ID: s.id, Method: s.method, Host: callerHost, Path: s.path, Body: s.body, Key: s.key, Model: modelName,
		Deadline: callerDeadline,
	}.Request(ctx, c.entry)
	if err != nil {
		return got{}
	}
	response, err := c.client.Do(request)
	if err != nil {
		return got{}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return got{
		status: response.StatusCode, stamp: platformtest.ResponseStamp(response), body: string(body), whole: err == nil,
	}
}
