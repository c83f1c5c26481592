package ingress

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/guavatrestle/guavatrestle/coordination/holding"
	"github.com/guavatrestle/guavatrestle/protocol/api"
	"github.com/guavatrestle/guavatrestle/transport"
)

const (
	// defaultBodyBytes bounds a request body if the configuration sets no limit.
	defaultBodyBytes = 4 << 20
	// firstBodyBytes is the buffer for a body without an announced length; it is doubled as needed.
	firstBodyBytes = 4 << 10
	// bodyReadBytes bounds one read of a body, so that progress is seen while a large one arrives.
	bodyReadBytes = 64 << 10
)

// errNoMemory is returned for a body that exceeds the limits of held bytes.
var errNoMemory = errors.New("the limit of held bytes leaves no room")

// readBody reads the body if the limits of held bytes allow it.
func (c *call) readBody() *transport.Error {
	limit := c.view.Configuration.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	c.hasBody = c.r.ContentLength != 0
	if c.r.ContentLength > limit {
		return bodyTooLargeError(limit)
	}
	if !c.hasBody {
		return nil
	}
	if announced := c.r.ContentLength; announced > 0 && !c.held.Grow(holding.KindBody, announced) {
		return noMemoryError(fmt.Sprintf("a body of %d bytes", announced))
	}
	transport.BoundBody(c.w, c.deadline.Sub(c.h.Now()))
	stop := context.AfterFunc(c.h.Closing, func() { transport.BoundBody(c.w, 0) })
	c.held.BeginBody()
	body, err := c.receiveBody(limit)
	c.held.EndBody()
	stop()
	if c.held.Ended() {
		return noMemoryError("a body that arrives this slowly")
	}
	if errors.Is(err, errNoMemory) {
		return noMemoryError("the rest of the body")
	}
	if transport.BodyTimedOut(err) && c.h.Closing.Err() != nil {
		return leavingError()
	}
	if transport.BodyTimedOut(err) {
		return transport.Errorf(http.StatusRequestTimeout, api.CodeDeadlineExceeded, api.RunNotRun,
			"the request body did not arrive before the deadline")
	}
	if err != nil {
		return transport.Errorf(http.StatusBadRequest, api.CodeBadRequest, api.RunNotRun, "read request body: %v", err)
	}
	if int64(len(body)) > limit {
		return bodyTooLargeError(limit)
	}
	transport.UnboundBody(c.w)
	c.body = body
	return nil
}

func bodyTooLargeError(limit int64) *transport.Error {
	return transport.Errorf(http.StatusRequestEntityTooLarge, api.CodeBodyTooLarge, api.RunNotRun,
		"request body exceeds the limit of %d bytes", limit)
}

// receiveBody reads the body to its end, or one byte more than limit.
func (c *call) receiveBody(limit int64) ([]byte, error) {
	size := c.r.ContentLength
	if size < 0 {
		size = min(firstBodyBytes, limit+1)
		if !c.held.Grow(holding.KindBody, size) {
			return nil, errNoMemory
		}
	}
	body := make([]byte, 0, size)
	for {
		if len(body) == cap(body) && c.r.ContentLength < 0 && int64(len(body)) <= limit {
			grown, err := c.growBody(body, limit)
			if err != nil {
				return nil, err
			}
			body = grown
		}
		if len(body) == cap(body) {
			return body, c.confirmEnd()
		}
		n, err := c.r.Body.Read(body[len(body):min(cap(body), len(body)+bodyReadBytes)])
		body = body[:len(body)+n]
		c.held.ReceiveBody(n)
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return body, err
		}
	}
}

// growBody returns body with twice the capacity, at most one byte more than limit.
func (c *call) growBody(body []byte, limit int64) ([]byte, error) {
	size := min(2*int64(cap(body)), limit+1)
	if !c.held.Grow(holding.KindBody, size-int64(cap(body))) {
		return nil, errNoMemory
	}
	grown := make([]byte, len(body), size)
	copy(grown, body)
	return grown, nil
}

// confirmEnd reads the end of a body whose announced length has arrived, after which the server watches for a caller that disconnects.
func (c *call) confirmEnd() error {
	if _, err := c.r.Body.Read(make([]byte, 1)); err != nil && err != io.EOF {
		return err
	}
	return nil
}

// releaseBody gives back the memory of the body once no further attempt can follow.
func (c *call) releaseBody() {
	c.held.Force(holding.KindBody, -int64(cap(c.body)))
	c.body = nil
}

func noMemoryError(what string) *transport.Error {
	return transport.Errorf(http.StatusServiceUnavailable, api.CodeNoMemory, api.RunNotRun,
		"this host holds too many bytes for other requests to take %s", what)
}
