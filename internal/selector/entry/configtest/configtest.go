// Package configtest makes configurations in force, for the tests of one duty of
// an entry host.
package configtest

import (
	"testing"

	"github.com/stretchr/testify/require"

	"cairndock/internal/selector/config"
)

// Planning is a zone with one service, planning, at one upstream, up-1.
const Planning = `
[[zone]]
name = "costa-a"
region = "costa"
[[service]]
name = "planning"
repeat = "safe"
timeout = "1s"
max_timeout = "2s"
[[upstream]]
name = "up-1"
service = "planning"
zone = "costa-a"
addr = "up-1:1"
slots = 4
`

// View gives a configuration in force as a host of costa-a sees it, at
// revision 1.
func View(tb testing.TB, doc string) func() *config.View {
	d, err := config.ParseDocument([]byte(doc))
	require.NoError(tb, err)
	c, err := d.Change("first", 0)
	require.NoError(tb, err)
	state, err := config.NewState().With(c.WithRevision(1))
	require.NoError(tb, err)
	view := config.NewView(state, "costa-a")
	return func() *config.View { return view }
}
