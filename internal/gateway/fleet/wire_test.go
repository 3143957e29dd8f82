package fleet

import (
	"encoding/hex"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/notice"
	"cairndock/internal/gateway/outlier"
	"cairndock/internal/gateway/quota"
	"cairndock/internal/gateway/watch"
	"cairndock/internal/peer"
	"cairndock/internal/poison"
)

// Hosts of different versions exchange these messages. A rename that changes a tag, the
// order of fields or a type changes their bytes, and hosts of other versions then lose
// the field without an error. The golden bytes must not be changed to fit the code.

// wireCase is a message and the bytes that hosts of other versions send for it.
type wireCase struct {
	name   string
	value  any
	decode func([]byte) (any, error)
	golden string
}

func checkWire(t *testing.T, cases []wireCase) {
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			encoded, err := peer.Encode(c.value)
			require.NoError(t, err)
			require.Equal(t, c.golden, hex.EncodeToString(encoded))
			golden, err := hex.DecodeString(c.golden)
			require.NoError(t, err)
			decoded, err := c.decode(golden)
			require.NoError(t, err)
			require.Equal(t, c.value, decoded)
		})
	}
}

func decodeAs[T any](b []byte) (any, error) { return peer.Decode[T](b) }

var wireHost = Host{
	Name: "host-1", Zone: "costa-duran", Region: "costa", PeerAddress: "10.9.0.1:7000", ClientAddress: "10.9.0.1:8000",
	Incarnation: "i-1", Capacity: 900,
}

func TestHeartbeatWireFormat(t *testing.T) {
	checkWire(t, []wireCase{
		{
			name: "every field",
			value: heartbeat{
				Host: wireHost,
				Status: Status{
					Ready: true, Leaving: true, Withdrawn: true, Rate: 411, Changes: []int64{7, 70000}, Eras: []int64{1, 2}, Fresh: true,
					Observations: []outlier.Observation{{Upstream: "u-1@1764722400123", Failures: 3, Successes: 4}},
					Notices:      []notice.Report{{Run: "u-2@1764722400456", Leaving: true, BackoffMS: 1500, PerSecond: 12.5, Ended: true, AgeMS: 250}},
				},
				Query: queryAll,
				Hosts: []Host{{Name: "host-2", Zone: "sierra-quito", Region: "sierra", PeerAddress: "10.9.1.1:7000", ClientAddress: "10.9.1.1:8000", Incarnation: "i-2", Capacity: 5}},
				Suspicions: poison.Update{
					Reports: []poison.Report{{
						Fingerprint:  poison.Fingerprint{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16},
						Terminations: []poison.Termination{{Run: "u-3", Host: "host-3", Began: 1000, Ended: 2000, Age: 3000, Cleared: true}},
					}},
					UpTo: 11, Acked: 12,
				},
			},
			decode: decodeAs[heartbeat],
			golden: "85a16887a16ea6686f73742d31a17aab636f7374612d647572616ea172a5636f737461a170ad31302e392e302e313a37303030a163ad31302e392e302e313a38303030a169a3692d31a171cd0384a17389a172c3a16cc3a177c3a171cd019ba1639207ce00011170a162920102a166c3a1759183a175b1752d314031373634373232343030313233a16203a16704a16e9186a175b1752d324031373634373232343030343536a178c3a172cd05dca16ccb4029000000000000a165c3a161ccfaa16102a16c9187a16ea6686f73742d32a17aac7369657272612d717569746fa172a6736965727261a170ad31302e392e312e313a37303030a163ad31302e392e312e313a38303030a169a3692d32a17105a17083a1709182a166c4100102030405060708090a0b0c0d0e0f10a1659186a172a3752d33a168a6686f73742d33a162cd03e8a16ecd07d0a161cd0bb8a163c3a1750ba1780c",
		},
		{
			name:   "a host that does not know quarantines",
			value:  heartbeat{Host: wireHost, Status: Status{Ready: true, QuarantinesUnknown: true}},
			decode: decodeAs[heartbeat],
			golden: "82a16887a16ea6686f73742d31a17aab636f7374612d647572616ea172a5636f737461a170ad31302e392e302e313a37303030a163ad31302e392e302e313a38303030a169a3692d31a171cd0384a17382a172c3a16bc3",
		},
		{
			name: "no optional field",
			value: heartbeat{
				Host: Host{Name: "host-1", Zone: "costa-duran", Region: "costa", PeerAddress: "10.9.0.1:7000", ClientAddress: "10.9.0.1:8000", Incarnation: "i-1"},
			},
			decode: decodeAs[heartbeat],
			golden: "82a16886a16ea6686f73742d31a17aab636f7374612d647572616ea172a5636f737461a170ad31302e392e302e313a37303030a163ad31302e392e302e313a38303030a169a3692d31a17380",
		},
		{
			name:   "query for the hosts of a region",
			value:  heartbeat{Host: wireHost, Query: queryRegion},
			decode: decodeAs[heartbeat],
			golden: "83a16887a16ea6686f73742d31a17aab636f7374612d647572616ea172a5636f737461a170ad31302e392e302e313a37303030a163ad31302e392e302e313a38303030a169a3692d31a171cd0384a17380a16101",
		},
	})
}

func TestRelayWireFormat(t *testing.T) {
	checkWire(t, []wireCase{
		{
			name:   "request",
			value:  relayRequest{Table: 1, Full: true, After: 70000, AfterEra: 2, Wait: 1500 * time.Millisecond, MaxAge: 3 * time.Second},
			decode: decodeAs[relayRequest],
			golden: "86a17401a177c3a161ce00011170a16502a164ce59682f00a16dceb2d05e00",
		},
		{
			name: "response",
			value: relayResponse{
				Page: watch.Page{
					Rows:    []watch.Row{{Key: "k-1", Value: []byte("value"), Version: 70000, Deleted: true, Compressed: true}},
					Version: watch.Version{Era: 2, Number: 70001},
					Age:     250 * time.Millisecond,
				},
				HistoryGone: true,
			},
			decode: decodeAs[relayResponse], // as hosts send it that do not know Held and StoreUnreachable
			golden: "82a17084a1729185a16ba36b2d31a176c40576616c7565a172ce00011170a167c3a170c3a16502a176ce00011171a161ce0ee6b280a167c3",
		},
		{
			name:   "response with the time that the peer held the request",
			value:  relayResponse{Page: watch.Page{Version: watch.Version{Number: 7}}, StoreUnreachable: true, Held: new(250 * time.Millisecond)},
			decode: decodeAs[relayResponse],
			golden: "83a17081a17607a173c3a168ce0ee6b280",
		},
		{
			name:   "response without optional fields",
			value:  relayResponse{Page: watch.Page{Version: watch.Version{Number: 7}}},
			decode: decodeAs[relayResponse],
			golden: "81a17081a17607",
		},
	})
}

func TestTokensWireFormat(t *testing.T) {
	checkWire(t, []wireCase{
		{name: "request", value: quota.TokenRequest{Account: "rail", Tokens: 700}, decode: decodeAs[quota.TokenRequest], golden: "82a161a47261696ca16ecd02bc"},
		{name: "response", value: quota.TokenResponse{Tokens: 600}, decode: decodeAs[quota.TokenResponse], golden: "81a16ecd0258"},
	})
}
