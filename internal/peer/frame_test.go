package peer

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestGarbageClosesOnlyItsConnection(t *testing.T) {
	client, addr := connectedMeshes(t, echoHandler{})
	_, err := Call[[]byte](context.Background(), client, addr, KindForward, []byte("before"))
	require.NoError(t, err)
	for name, bad := range map[string][]byte{
		"too large":   binary.BigEndian.AppendUint32(nil, maxFrame+1),
		"empty":       binary.BigEndian.AppendUint32(nil, 0),
		"not msgpack": append(binary.BigEndian.AppendUint32(nil, 3), 0xc1, 0xc1, 0xc1),
	} {
		c, err := net.Dial("tcp", addr)
		require.NoError(t, err)
		_, err = c.Write(bad)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, c) // ends when the server closes the connection
		if err != nil {
			require.ErrorContains(t, err, "reset", name)
		}
		require.NoError(t, c.Close())
	}
	_, err = Call[[]byte](context.Background(), client, addr, KindForward, []byte("after"))
	require.NoError(t, err)
}

func FuzzDecodeFrame(f *testing.F) {
	for _, seed := range []frame{
		{Type: frameHello, Data: []byte("x")}, {Type: frameOpen, ID: 1, Kind: KindForward, Data: []byte("x")},
		{Type: frameBody, ID: 1, Offset: 5, Data: []byte("x")}, {Type: frameEnd, ID: 1, Offset: 6},
	} {
		buf, err := appendFrame(nil, &seed)
		require.NoError(f, err)
		f.Add(buf[4:])
	}
	f.Add([]byte{0xc1})
	f.Fuzz(func(t *testing.T, body []byte) {
		got, err := decodeFrame(body)
		if err != nil {
			return
		}
		again, err := appendFrame(nil, &got)
		require.NoError(t, err)
		twice, err := decodeFrame(again[4:])
		require.NoError(t, err)
		require.Equal(t, got, twice)
	})
}
