package peer

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"testing"

	"github.com/stretchr/testify/require"
)

// Hosts of different versions exchange these frames. A rename that reorders the frame
// types, the kinds or the fields of a frame, or that changes a tag of Hello, changes their
// bytes, and hosts of other versions then misread them. The golden bytes must not be
// changed to fit the code.

func TestFrameWireFormat(t *testing.T) {
	data := []byte("data")
	for _, c := range []struct {
		name   string
		frame  frame
		golden string
	}{
		{"hello", frame{Type: frameHello, Data: data}, "0000000b9501000000c40464617461"},
		{"open", frame{Type: frameOpen, ID: 300, Kind: KindForward, Data: data}, "0000000d9502cd012c0100c40464617461"},
		{"open with a deadline", frame{Type: frameOpen, ID: 300, Kind: KindForward, Offset: 70000, Data: data}, "000000119502cd012c01ce00011170c40464617461"},
		{"reply", frame{Type: frameReply, ID: 300, Data: data}, "0000000d9503cd012c0000c40464617461"},
		{"body", frame{Type: frameBody, ID: 300, Offset: 70000, Data: data}, "000000119504cd012c00ce00011170c40464617461"},
		{"end", frame{Type: frameEnd, ID: 300, Offset: 70004}, "0000000c9505cd012c00ce00011174c0"},
		{"fail", frame{Type: frameFail, ID: 300}, "000000089506cd012c0000c0"},
		{"cancel", frame{Type: frameCancel, ID: 300}, "000000089507cd012c0000c0"},
		{"credit", frame{Type: frameCredit, ID: 300, Offset: 65536}, "0000000c9508cd012c00ce00010000c0"},
		{"ping", frame{Type: framePing}, "000000069509000000c0"},
		{"pong", frame{Type: framePong}, "00000006950a000000c0"},
		{"pong with a clock", frame{Type: framePong, Offset: 70000}, "0000000a950a0000ce00011170c0"},
		{"go away", frame{Type: frameGoAway, ID: 300}, "00000008950bcd012c0000c0"},
		{"open ticket", frame{Type: frameOpen, ID: 1, Kind: KindTicket}, "000000069502010200c0"},
		{"open heartbeat", frame{Type: frameOpen, ID: 1, Kind: KindHeartbeat}, "000000069502010300c0"},
		{"open roster", frame{Type: frameOpen, ID: 1, Kind: KindRoster}, "000000069502010400c0"},
		{"open changes", frame{Type: frameOpen, ID: 1, Kind: KindChanges}, "000000069502010500c0"},
		{"open push", frame{Type: frameOpen, ID: 1, Kind: KindPush}, "000000069502010600c0"},
		{"open confirm", frame{Type: frameOpen, ID: 1, Kind: KindConfirm}, "000000069502010700c0"},
		{"open handover", frame{Type: frameOpen, ID: 1, Kind: KindHandover}, "000000069502010800c0"},
		{"open lend", frame{Type: frameOpen, ID: 1, Kind: KindLend}, "000000069502010900c0"},
		{"open drain", frame{Type: frameOpen, ID: 1, Kind: KindDrain}, "000000069502010a00c0"},
		{"open tokens", frame{Type: frameOpen, ID: 1, Kind: KindTokens}, "000000069502010b00c0"},
	} {
		t.Run(c.name, func(t *testing.T) {
			encoded, err := appendFrame(nil, &c.frame)
			require.NoError(t, err)
			require.Equal(t, c.golden, hex.EncodeToString(encoded))
			golden, err := hex.DecodeString(c.golden)
			require.NoError(t, err)
			decoded, err := readFrame(bufio.NewReader(bytes.NewReader(golden)))
			require.NoError(t, err)
			require.Equal(t, c.frame, decoded)
		})
	}
}

func TestHelloWireFormat(t *testing.T) {
	for _, c := range []struct {
		name   string
		hello  Hello
		golden string
	}{
		{"every field", Hello{Version: protocolVersion, Host: "host-1", Zone: "costa-duran", Incarnation: "i-1", KeepAlive: true, GoAway: true}, "86a176ab636169726e646f636b2f31a168a6686f73742d31a17aab636f7374612d647572616ea169a3692d31a16bc3a167c3"},
		{"with a clock", Hello{Version: protocolVersion, Host: "host-1", Zone: "costa-duran", Incarnation: "i-1", Clock: 70000}, "85a176ab636169726e646f636b2f31a168a6686f73742d31a17aab636f7374612d647572616ea169a3692d31a163ce00011170"},
		{"no optional field", Hello{Version: protocolVersion, Host: "host-1", Zone: "costa-duran", Incarnation: "i-1"}, "84a176ab636169726e646f636b2f31a168a6686f73742d31a17aab636f7374612d647572616ea169a3692d31"},
	} {
		t.Run(c.name, func(t *testing.T) {
			encoded, err := Encode(c.hello)
			require.NoError(t, err)
			require.Equal(t, c.golden, hex.EncodeToString(encoded))
			golden, err := hex.DecodeString(c.golden)
			require.NoError(t, err)
			decoded, err := Decode[Hello](golden)
			require.NoError(t, err)
			require.Equal(t, c.hello, decoded)
		})
	}
}
