package ticket

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
)

// TestTicketTextFormat guards against changes of the order of a ticket's fields or of
// its MAC, because clients keep the text and hosts of other versions parse it.
func TestTicketTextFormat(t *testing.T) {
	issued := Ticket{Host: "host", Zone: "zone", Incarnation: "incarnation", Sequence: 7, Expiry: 1_800_000_000}
	issued.MAC = issued.mac(make(Key, keySize))
	require.Equal(t, "lqRob3N0pHpvbmWraW5jYXJuYXRpb27PAAAAAAAAAAfTAAAAAGtJ0gDEEEofoYBdb_ybf63e1g2N8pw", issued.String())
}

// TestHandoverWireFormat guards against changes of the keys and types of the fields,
// because hosts of different versions hand over tickets to each other.
func TestHandoverWireFormat(t *testing.T) {
	raw, err := msgpack.Marshal(Handover{
		Host: "host", Zone: "zone", Incarnation: "incarnation", Key: []byte("key"), Sealed: true,
		Records: map[uint64]Record{7: {
			Digest: Digest{1}, Phase: InDoubt, Expiry: 8,
			Outcome: Outcome{Status: 200, Header: http.Header{"A": {"b"}}, Body: []byte("body"), Upstream: "upstream", Partial: true},
		}},
	})
	require.NoError(t, err)
	var sent struct {
		Host        string                    `msgpack:"h"`
		Zone        string                    `msgpack:"z"`
		Incarnation string                    `msgpack:"i"`
		Key         []byte                    `msgpack:"k"`
		Records     map[uint64]map[string]any `msgpack:"r"`
		Sealed      bool                      `msgpack:"s"`
	}
	require.NoError(t, msgpack.Unmarshal(raw, &sent))
	require.Equal(t, "host zone incarnation key", sent.Host+" "+sent.Zone+" "+sent.Incarnation+" "+string(sent.Key))
	require.True(t, sent.Sealed)
	digest := make([]byte, 32)
	digest[0] = 1
	require.Equal(t, map[string]any{
		"d": digest, "p": uint8(3), "e": int64(8),
		"o": map[string]any{"s": uint8(200), "h": map[string]any{"A": []any{"b"}}, "b": []byte("body"), "u": "upstream", "p": true},
	}, sent.Records[7])
	require.Equal(t, []Phase{1, 2}, []Phase{Running, Completed})
}
