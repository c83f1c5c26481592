package engine_test

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain guards against goroutines that outlive their owner.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
