package fleet

import (
	"testing"

	"cairndock/internal/testmain"
)

func TestMain(m *testing.M) { testmain.OneProcessor(m) }
