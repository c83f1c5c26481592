package ingress

import (
	"expvar"
	"fmt"
	"net/http"
	"runtime/debug"

	"github.com/sirupsen/logrus"

	"github.com/guavatrestle/guavatrestle/protocol/api"
	"github.com/guavatrestle/guavatrestle/transport"
)

// varPanics counts panics in the handling of requests.
var varPanics = expvar.NewInt("ingress_panics")

// recoverRequest ends a request whose handling panicked, and answers it unless its response has begun. It must be deferred.
func (c *call) recoverRequest() {
	value := recover()
	if value == nil {
		return
	}
	if value == http.ErrAbortHandler {
		panic(value)
	}
	c.logPanic(value)
	c.releaseNextChoice()
	if c.responding {
		panic(http.ErrAbortHandler)
	}
	c.refuse(transport.Errorf(http.StatusBadGateway, api.CodeUpstreamFailed, api.RunUnknown, "internal error"))
}

// recoverTimer keeps a panic in a timer of a request from ending the process. It must be deferred.
func (c *call) recoverTimer() {
	if value := recover(); value != nil {
		c.logPanic(value)
	}
}

func (c *call) logPanic(value any) {
	varPanics.Add(1)
	c.h.log.write("panic while handling a request", c.fields(logrus.Fields{
		"panic": fmt.Sprint(value), "stack": string(debug.Stack()),
	}))
}
