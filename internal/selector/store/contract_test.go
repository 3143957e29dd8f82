package store_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"cairndock/internal/selector/config"
	"cairndock/internal/selector/standin"
	"cairndock/internal/selector/store"
)

// hostList is the interface of the host list under test. The interfaces of the
// table and the objects are config.Table and config.Objects.
type hostList interface {
	Hosts(ctx context.Context) ([]store.HostState, error)
}

// runContract runs a contract test against a Memory, and against the clients
// with a server that provides a Memory by the clients' wire protocols.
func runContract(t *testing.T, contract func(t *testing.T, m *store.Memory, tb config.Table, ob config.Objects, hs hostList)) {
	t.Run("memory", func(t *testing.T) {
		m := store.NewMemory()
		contract(t, m, m, m, m)
	})
	t.Run("client", func(t *testing.T) {
		m := store.NewMemory()
		p, err := standin.Platform{Memory: m}.Start()
		require.NoError(t, err)
		t.Cleanup(p.Close)
		contract(t, m, store.NewTable(p.Settings), store.NewObjects(p.Settings), store.NewHostList(p.Settings))
	})
}

func key(partition, sort string) store.Key {
	return store.Key{Partition: partition, Sort: sort}
}

func TestTableContract(t *testing.T) {
	runContract(t, func(t *testing.T, m *store.Memory, tb config.Table, _ config.Objects, _ hostList) {
		ctx := context.Background()
		_, err := tb.Get(ctx, key("p", "a"))
		require.ErrorIs(t, err, store.ErrNotFound)

		require.NoError(t, tb.Transact(ctx, []store.Write{{Key: key("p", "a"), Body: []byte("1")}, {Key: key("p", "b"), Body: []byte{0, 255}}}))
		row, err := tb.Get(ctx, key("p", "b"))
		require.NoError(t, err)
		require.Equal(t, store.Row{Key: key("p", "b"), Version: 1, Body: []byte{0, 255}}, row)

		// If one condition fails, no row changes.
		for _, version := range []int64{0, 2} {
			err = tb.Transact(ctx, []store.Write{{Key: key("p", "new"), Body: []byte("x")}, {Key: key("p", "a"), IfVersion: version, Body: []byte("x")}})
			require.ErrorIs(t, err, store.ErrConflict)
		}
		_, err = tb.Get(ctx, key("p", "new"))
		require.ErrorIs(t, err, store.ErrNotFound)

		require.NoError(t, tb.Transact(ctx, []store.Write{{Key: key("p", "a"), IfVersion: 1, Body: []byte("2")}}))
		row, err = tb.Get(ctx, key("p", "a"))
		require.NoError(t, err)
		require.EqualValues(t, 2, row.Version)

		for i := range 5 {
			require.NoError(t, tb.Transact(ctx, []store.Write{{Key: key("log", fmt.Sprintf("%03d", i)), Body: []byte("x")}}))
		}
		rows, err := tb.List(ctx, "log", "001", 2)
		require.NoError(t, err)
		require.Len(t, rows, 2)
		require.Equal(t, "002", rows[0].Key.Sort)
		require.Equal(t, "003", rows[1].Key.Sort)

		// The service may end a page before the limit because of its size. List
		// must read the following pages.
		large := make([]byte, 200<<10)
		for i := range 8 {
			require.NoError(t, tb.Transact(ctx, []store.Write{{Key: key("large", fmt.Sprintf("%03d", i)), Body: large}}))
		}
		for limit, want := range map[int]int{100: 8, 7: 7} {
			rows, err = tb.List(ctx, "large", "", limit)
			require.NoError(t, err)
			require.Equal(t, want, len(rows)) // not Len, which would print the bodies
		}

		m.SetFault(func(string, bool) error { return store.ErrThrottled })
		_, err = tb.Get(ctx, key("p", "a"))
		require.ErrorIs(t, err, store.ErrThrottled)
		require.ErrorIs(t, tb.Transact(ctx, []store.Write{{Key: key("p", "c")}}), store.ErrThrottled)
		m.SetFault(nil)
		_, err = tb.Get(ctx, key("p", "c"))
		require.ErrorIs(t, err, store.ErrNotFound, "a throttled write must have no effect")
	})
}

func TestObjectContract(t *testing.T) {
	runContract(t, func(t *testing.T, m *store.Memory, _ config.Table, ob config.Objects, _ hostList) {
		ctx := context.Background()
		_, err := ob.GetObject(ctx, "a/b")
		require.ErrorIs(t, err, store.ErrNotFound)
		for _, body := range [][]byte{{}, {0, 1, 255}, make([]byte, 1<<20)} {
			require.NoError(t, ob.PutObject(ctx, "a/b", body))
			got, err := ob.GetObject(ctx, "a/b")
			require.NoError(t, err)
			require.Equal(t, len(body), len(got))
		}
		m.SetFault(func(string, bool) error { return store.ErrThrottled })
		_, err = ob.GetObject(ctx, "a/b")
		require.ErrorIs(t, err, store.ErrThrottled)
	})
}

func TestHostListContract(t *testing.T) {
	runContract(t, func(t *testing.T, m *store.Memory, _ config.Table, _ config.Objects, hs hostList) {
		m.SetHost("b", store.Leaving)
		m.SetHost("a", store.Live)
		got, err := hs.Hosts(context.Background())
		require.NoError(t, err)
		require.Equal(t, []store.HostState{{Name: "a", State: store.Live}, {Name: "b", State: store.Leaving}}, got)
		m.SetFault(func(string, bool) error { return store.ErrThrottled })
		_, err = hs.Hosts(context.Background())
		require.Error(t, err)
	})
}
