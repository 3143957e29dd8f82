// Package configtest creates configurations for the tests of single components of
// an entry host.
package configtest

import (
	"testing"

	"github.com/stretchr/testify/require"

	"cairndock/internal/selector/config"
)

// Planning is a document with one zone, the service planning and its only
// upstream, up-1.
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

// View returns a function that returns the view of a document's configuration at
// revision 1, for a host in zone costa-a.
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
