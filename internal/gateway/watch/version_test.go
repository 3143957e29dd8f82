package watch

import (
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
)

// pageBeforeEras is a page as encoded and decoded by processes that do not support eras.
type pageBeforeEras struct {
	Rows    []Row `msgpack:"r,omitempty"`
	Version int64 `msgpack:"v"`
}

func TestPagesAreExchangedWithProcessesWithoutEras(t *testing.T) {
	sent, err := msgpack.Marshal(Page{Version: Version{Era: 2, Number: 5}, Rows: []Row{{Key: "a", Version: 4}}})
	require.NoError(t, err)
	var earlier pageBeforeEras
	require.NoError(t, msgpack.Unmarshal(sent, &earlier))
	require.Equal(t, pageBeforeEras{Version: 5, Rows: []Row{{Key: "a", Version: 4}}}, earlier)

	var page Page
	require.NoError(t, msgpack.Unmarshal(sent, &page))
	require.Equal(t, Version{Era: 2, Number: 5}, page.Version)

	sent, err = msgpack.Marshal(earlier)
	require.NoError(t, err)
	page = Page{}
	require.NoError(t, msgpack.Unmarshal(sent, &page))
	require.Equal(t, at(5), page.Version)
}
