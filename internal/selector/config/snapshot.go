package config

import (
	"bytes"
	"compress/gzip"
	"context"
	"errors"
	"io"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"cairndock/internal/readlimit"
	"cairndock/internal/selector/store"
)

// A snapshot is a complete state, for hosts that start and peers that are far
// behind. Its format is a gzip stream of msgpack values: a snapshotHeader,
// followed by a snapshotObject for each object. Objects are encoded and decoded
// one by one to avoid a second copy of the state in memory.

type snapshotHeader struct {
	Revision uint64 `msgpack:"r"`
	Objects  int    `msgpack:"o"`
}

type snapshotObject struct {
	Ref     Ref    `msgpack:"r"`
	Version uint64 `msgpack:"v"`
	Body    []byte `msgpack:"b"`
}

// WriteSnapshot writes the whole state to out.
func (s *State) WriteSnapshot(out io.Writer) error {
	zip := gzip.NewWriter(out)
	enc := msgpack.NewEncoder(zip)
	enc.UseCompactInts(true)
	count := 0
	for _, kind := range kinds {
		count += s.collection(kind).size()
	}
	err := enc.Encode(snapshotHeader{Revision: s.revision, Objects: count})
	for _, kind := range kinds {
		s.collection(kind).each(func(name string, version uint64, v any) {
			if err != nil {
				return
			}
			var body []byte
			if body, err = encode(v); err == nil {
				err = enc.Encode(snapshotObject{Ref{kind, name}, version, body})
			}
		})
	}
	if err == nil {
		err = zip.Close()
	}
	return eris.Wrap(err, "write snapshot")
}

// maxSnapshotBytes is the maximum size of an expanded snapshot.
const maxSnapshotBytes = 256 << 20

// ReadSnapshot reads a snapshot written by WriteSnapshot. It returns an error if
// the snapshot is truncated or corrupt.
func ReadSnapshot(in io.Reader) (*State, error) {
	zip, err := gzip.NewReader(in)
	if err != nil {
		return nil, eris.Wrap(err, "read snapshot")
	}
	plain := readlimit.New(zip, maxSnapshotBytes, "the expanded snapshot")
	dec := msgpack.NewDecoder(plain)
	var header snapshotHeader
	if err := dec.Decode(&header); err != nil {
		return nil, eris.Wrap(err, "read snapshot header")
	}
	s := NewState()
	s.blocks.owned = true
	for range header.Objects {
		var o snapshotObject
		if err := dec.Decode(&o); err != nil {
			return nil, eris.Wrap(err, "read snapshot object")
		}
		if err := s.apply(Edit{Ref: o.Ref, Body: o.Body}, o.Version); err != nil {
			return nil, eris.Wrapf(err, "load %s", o.Ref)
		}
	}
	// Reading to the end verifies the stream's checksum.
	if _, err := io.Copy(io.Discard, plain); err != nil {
		return nil, eris.Wrap(err, "read snapshot")
	}
	s.revision = header.Revision
	s.blocks.owned = false
	return s, nil
}

// SaveSnapshot stores the state as an object and records it in the table as the
// newest snapshot, unless a newer one is recorded.
func (l *Log) SaveSnapshot(ctx context.Context, s *State) error {
	var body bytes.Buffer
	if err := s.WriteSnapshot(&body); err != nil {
		return err
	}
	if err := l.objects.PutObject(ctx, snapshotName(s.Revision()), body.Bytes()); err != nil {
		return eris.Wrap(err, "store snapshot")
	}
	key := store.Key{Partition: partitionHead, Sort: sortSnapshot}
	row, err := l.table.Get(ctx, key)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return eris.Wrap(err, "read snapshot row")
	}
	// If the row is missing or can't be decoded, this snapshot is the newest.
	if h, err := decode[head](row.Body); err == nil && h.Revision >= s.Revision() {
		return nil
	}
	pointer, err := encode(head{s.Revision()})
	if err != nil {
		return err
	}
	err = l.table.Transact(ctx, []store.Write{{Key: key, IfVersion: row.Version, Body: pointer}})
	return eris.Wrap(err, "record snapshot")
}

func snapshotName(rev uint64) string { return "snapshot/" + logSort(rev) }

// Load reads the state at the head of the log, from the newest snapshot and the
// changes after it.
func (l *Log) Load(ctx context.Context) (*State, error) {
	s, err := l.loadSnapshot(ctx)
	if err != nil {
		return nil, err
	}
	return l.CatchUp(ctx, s)
}

func (l *Log) loadSnapshot(ctx context.Context) (*State, error) {
	rev, found, err := l.readHead(ctx, store.Key{Partition: partitionHead, Sort: sortSnapshot})
	if err != nil {
		return nil, err
	}
	if !found {
		return NewState(), nil
	}
	body, err := l.objects.GetObject(ctx, snapshotName(rev))
	if errors.Is(err, store.ErrNotFound) {
		return NewState(), nil // the log contains every change
	}
	if err != nil {
		return nil, eris.Wrap(err, "read snapshot")
	}
	return ReadSnapshot(bytes.NewReader(body))
}
