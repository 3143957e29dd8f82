package member

import (
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
)

// TestHeartbeatWireFormat guards against changes of the keys and types of the fields,
// because hosts of different versions exchange heartbeats.
func TestHeartbeatWireFormat(t *testing.T) {
	raw, err := msgpack.Marshal(Heartbeat{
		Contact:     Contact{Host: "host", Zone: "zone", PeerAddr: "peer:1", ClientAddr: "caller:2"},
		Incarnation: "incarnation", Epoch: 1, Acked: 2, Revision: 3, Digest: 4, FreshAge: -1, Leaving: true,
		Slots: []uint32{5}, ZoneSlots: []uint32{6}, ServiceSlots: []ServiceSlots{{Service: "not sent"}}, ZoneServiceSlots: []ServiceSlots{{Service: "not sent"}},
		ZoneHosts: 7, Contacts: []Contact{{Host: "other"}}, ContactsHash: 8,
		UpstreamStatuses: []UpstreamStatus{{Upstream: "upstream", Instance: "instance", Leaving: true, Seen: true}},
		Successors:       []Successor{{Incarnation: "stopped", Host: "successor"}},
	})
	require.NoError(t, err)
	var sent map[string]any
	require.NoError(t, msgpack.Unmarshal(raw, &sent))
	require.Equal(t, map[string]any{
		"c": map[string]any{"h": "host", "z": "zone", "p": "peer:1", "c": "caller:2"},
		"i": "incarnation", "e": uint64(1), "a": uint64(2), "r": uint64(3), "d": uint64(4), "f": int64(-1), "l": true,
		"s": []any{uint32(5)}, "z": []any{uint32(6)}, "n": int8(7),
		"o": []any{map[string]any{"h": "other", "z": "", "p": "", "c": ""}}, "q": uint64(8),
		"g": []any{map[string]any{"u": "upstream", "i": "instance", "l": true, "s": true}},
		"t": []any{map[string]any{"i": "stopped", "h": "successor"}},
	}, sent)

	raw, err = msgpack.Marshal(Heartbeat{})
	require.NoError(t, err)
	sent = nil
	require.NoError(t, msgpack.Unmarshal(raw, &sent))
	require.Len(t, sent, 9, "empty optional fields must be omitted")

	raw, err = msgpack.Marshal(ServiceSlots{Service: "service", Free: 1, Held: 2, Warm: 3})
	require.NoError(t, err)
	sent = nil
	require.NoError(t, msgpack.Unmarshal(raw, &sent))
	require.Equal(t, map[string]any{"s": "service", "f": int8(1), "h": int8(2), "w": int8(3)}, sent)
}

// TestHashOfContacts guards against changes of the hash, because hosts of different
// versions compare it.
func TestHashOfContacts(t *testing.T) {
	contacts := []Contact{{Host: "a", Zone: "z", PeerAddr: "a:1", ClientAddr: "a:2"}, {Host: "b"}}
	require.Equal(t, uint64(0x14b1722e6f230226), HashContacts(contacts))
	require.NotEqual(t, HashContacts(contacts), HashContacts(contacts[:1]))
}
