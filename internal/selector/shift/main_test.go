package shift

import (
	"testing"

	"cairndock/internal/testmain"
)

func TestMain(m *testing.M) { testmain.FixedSeed(m) }
