package link_test

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain fails if goroutines are left running after the tests.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
