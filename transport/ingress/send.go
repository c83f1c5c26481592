package ingress

import (
	"net/http"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/guavatrestle/guavatrestle/coordination/dispatch"
)

const (
	// sendTimeoutSlack is the share of the timeout by which a write may be given up earlier, so that not each event sets a new deadline.
	sendTimeoutSlack = 0.125
	// sendBytes is the part of a response after which a write has made progress.
	sendBytes = 32 << 10
	// readerDelay is the duration of a write from which on a lost connection to the replica is not taken for a fault of the replica, which
	// cuts off a response that is not read for some seconds.
	readerDelay = time.Second
)

// past is a deadline that ends a pending read or write.
var past = time.Unix(1, 0)

// endForMemory ends a pending write to the caller, or the arrival of the body, because others need the memory.
func (c *call) endForMemory(writing bool) {
	control := http.NewResponseController(c.w)
	if writing {
		_ = control.SetWriteDeadline(past)
		return
	}
	_ = control.SetReadDeadline(past)
}

// send writes a part of the response to the caller and waits until the caller's connection has taken it.
func (c *call) send(p []byte, flush bool) error {
	begun := c.h.Now()
	err := c.sendParts(p, flush)
	c.held.EndWrite()
	c.longestSend = max(c.longestSend, c.h.Now().Sub(begun))
	if err != nil {
		c.sendErr = err
	}
	return err
}

func (c *call) sendParts(p []byte, flush bool) error {
	for part := range slices.Chunk(p, sendBytes) {
		c.held.BeginWrite()
		c.boundWrite()
		if _, err := c.w.Write(part); err != nil {
			return err
		}
	}
	if !flush {
		return nil
	}
	return http.NewResponseController(c.w).Flush()
}

// boundWrite bounds the time of the following write.
func (c *call) boundWrite() {
	now := time.Now()
	timeout := c.h.Config.SendTimeout
	if c.sendUntil.Sub(now).Seconds() > timeout.Seconds()*(1-sendTimeoutSlack) {
		return
	}
	c.sendUntil = now.Add(timeout)
	// Fails only for writers without a connection, as in tests.
	_ = http.NewResponseController(c.w).SetWriteDeadline(c.sendUntil)
	if c.held.Ended() {
		c.endForMemory(true)
	}
}

// excuseReplica changes the result of an attempt whose replica may have cut off the response because the caller didn't read it.
func (c *call) excuseReplica(result attemptResult) attemptResult {
	if c.longestSend >= readerDelay && result.outcome == dispatch.OutcomeBroken {
		result.outcome, result.connectionLost = dispatch.OutcomeAbandoned, false
	}
	c.longestSend = 0
	return result
}

// logUnread logs that a response was cut off because the caller didn't read it.
func (c *call) logUnread() {
	if c.sendErr == nil {
		return
	}
	reason := "the caller has not read for too long, or has disconnected"
	if c.held.Ended() {
		reason = "the caller reads too slowly while others need the memory"
	}
	c.h.log.write("response not taken by the caller", c.fields(logrus.Fields{"reason": reason, "error": c.sendErr.Error()}))
}
