package roster

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
)

// TestRosterStorageFormat guards against changes of the keys and values of the fields,
// because rosters are stored in the platform's table and sent to hosts of other versions.
func TestRosterStorageFormat(t *testing.T) {
	r := Roster{Zone: "zone", Epoch: 7, Members: []Member{
		{Host: "host", Incarnation: "incarnation", PeerAddr: "peer:1", ClientAddr: "caller:2", State: Dead},
	}}
	raw, err := msgpack.Marshal(r)
	require.NoError(t, err)
	var sent map[string]any
	require.NoError(t, msgpack.Unmarshal(raw, &sent))
	require.Equal(t, map[string]any{
		"z": "zone", "e": uint64(7),
		"m": []any{map[string]any{"h": "host", "i": "incarnation", "p": "peer:1", "c": "caller:2", "s": "gone"}},
	}, sent)

	text, err := json.Marshal(r)
	require.NoError(t, err)
	require.JSONEq(t, `{"zone": "zone", "epoch": 7, "members": [{"host": "host", "incarnation": "incarnation",
		"peer_addr": "peer:1", "caller_addr": "caller:2", "state": "gone"}]}`, string(text))
	require.Equal(t, []State{"active", "leaving"}, []State{Active, Leaving})
}
