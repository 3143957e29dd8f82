package config

import (
	"compress/gzip"
	"io"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

// A snapshot is a whole state for starting hosts and far-behind peers: a
// gzip stream of msgpack values, a header and then one value an object. It
// is written and read an object at a time, so that neither end holds it.

type snapshotHeader struct {
	Revision uint64 `msgpack:"r"`
	Objects  int    `msgpack:"o"`
}

type snapshotObject struct {
	Ref     Ref    `msgpack:"r"`
	Version uint64 `msgpack:"v"`
	Body    []byte `msgpack:"b"`
}

// snapshotWriter remembers the first error.
type snapshotWriter struct {
	enc *msgpack.Encoder
	err error
}

func (w *snapshotWriter) write(v any) {
	if w.err == nil {
		w.err = w.enc.Encode(v)
	}
}

func (w *snapshotWriter) object(kind Kind, name string, version uint64, v any) {
	body, err := encode(v)
	if w.err == nil {
		w.err = err
	}
	w.write(snapshotObject{Ref{kind, name}, version, body})
}

func writeAll[T any](w *snapshotWriter, kind Kind, m map[string]entry[T]) {
	for name, e := range m {
		w.object(kind, name, e.version, e.value)
	}
}

// WriteSnapshot writes the whole state down.
func (s *State) WriteSnapshot(out io.Writer) error {
	zip := gzip.NewWriter(out)
	w := &snapshotWriter{enc: msgpack.NewEncoder(zip)}
	w.enc.UseCompactInts(true)
	count := len(s.zones) + len(s.services) + len(s.upstreams) + len(s.rules) + len(s.links) + s.blocks.Size()
	w.write(snapshotHeader{Revision: s.revision, Objects: count})
	writeAll(w, KindZone, s.zones)
	writeAll(w, KindService, s.services)
	writeAll(w, KindUpstream, s.upstreams)
	writeAll(w, KindRule, s.rules)
	writeAll(w, KindLink, s.links)
	for prefix, b := range s.blocks.All() {
		w.object(KindBlock, prefix.String(), b.version, Block{CIDR: prefix.String(), Zone: s.zoneNames[b.zone]})
	}
	if w.err != nil {
		return eris.Wrap(w.err, "write snapshot")
	}
	return eris.Wrap(zip.Close(), "write snapshot")
}

// ReadSnapshot makes a state from what WriteSnapshot wrote, whole or not at
// all.
func ReadSnapshot(in io.Reader) (*State, error) {
	zip, err := gzip.NewReader(in)
	if err != nil {
		return nil, eris.Wrap(err, "read snapshot")
	}
	dec := msgpack.NewDecoder(zip)
	var header snapshotHeader
	if err := dec.Decode(&header); err != nil {
		return nil, eris.Wrap(err, "read snapshot header")
	}
	s := NewState()
	s.ownBlocks = true
	for range header.Objects {
		var o snapshotObject
		if err := dec.Decode(&o); err != nil {
			return nil, eris.Wrap(err, "read snapshot object")
		}
		if err := s.apply(Edit{Ref: o.Ref, Body: o.Body}, o.Version); err != nil {
			return nil, eris.Wrapf(err, "load %s", o.Ref)
		}
	}
	// The end of the stream carries its checksum.
	if _, err := io.Copy(io.Discard, zip); err != nil {
		return nil, eris.Wrap(err, "read snapshot")
	}
	s.revision = header.Revision
	s.ownBlocks = false
	return s, nil
}
