package transfer_test

import (
	"testing"

	"github.com/guavatrestle/guavatrestle/internal/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m) }
