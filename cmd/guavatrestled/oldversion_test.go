package main

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// earlierEnd returns the earlier times, as shares of the activation timeout.
func earlierEnd(timeout time.Duration) oldVersionEnd {
	return oldVersionEnd{
		idleOnly: scaleDuration(timeout, 0.79), grace: scaleDuration(timeout, 0.85), cancel: scaleDuration(timeout, 0.95),
	}
}

// TestOldVersionsServeUntilCloseToTheTimeout guards against old weights that lose their requests long before the bound, which left no
// replica permitted for 1.5 s of a bound of 10 s, and against a smaller margin for cancellation than 0.4 s.
func TestOldVersionsServeUntilCloseToTheTimeout(t *testing.T) {
	for _, timeout := range []time.Duration{8 * time.Second, 10 * time.Second, time.Minute} {
		end, earlier := endOfOldVersion(timeout), earlierEnd(timeout)
		require.Greater(t, end.grace, earlier.grace)
		require.GreaterOrEqual(t, timeout-end.cancel, 400*time.Millisecond)
		require.LessOrEqual(t, timeout-end.grace, time.Second)
	}
	end, earlier := endOfOldVersion(8*time.Second), earlierEnd(8*time.Second)
	require.LessOrEqual(t, end.cancel, earlier.cancel, "a bound of 8 s has no riskier cancellation than before")
	require.LessOrEqual(t, end.idleOnly, earlier.idleOnly, "nor more requests in queues of old versions")
}

// TestNoRequestStartsOnAnOldVersionWithoutCancellation guards against a request that is sent when the cancellation has passed already,
// for any timeout.
func TestNoRequestStartsOnAnOldVersionWithoutCancellation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		timeout := time.Duration(rapid.Int64Range(int64(time.Millisecond), int64(time.Hour)).Draw(t, "timeout"))
		end := endOfOldVersion(timeout)
		require.Greater(t, end.idleOnly, time.Duration(0))
		require.Less(t, end.idleOnly, end.grace)
		require.Less(t, end.grace, end.cancel)
		require.Less(t, end.cancel, timeout)
	})
	require.Zero(t, endOfOldVersion(0))
}
