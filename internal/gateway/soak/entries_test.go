package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// entriesGap is the mean time between two disruptions of upstreams' entries.
	entriesGap = 1500 * time.Millisecond
	// entriesSalt makes the source of these disruptions differ from that of the
	// others, so that a seed's other faults are what they were without them.
	entriesSalt = 0x5eed
)

// strangeEntries are values that another writer puts where upstreams write theirs.
var strangeEntries = []string{
	``, `null`, `[]`, `{`, "\xff\xfe\x00",
	`{"service":"work"}`,
	`{"service":7,"address":"127.0.0.1:1","zone":"west-1","version":"v","capacity":8,"state":"ready","warmup_left_ms":0,"sequence":1}`,
	`{"service":"work","address":"127.0.0.1:1","zone":"nowhere","version":"v","capacity":8,"state":"ready","warmup_left_ms":0,"sequence":1}`,
	`{"service":"work","address":"127.0.0.1:1","zone":"west-1","version":"v","capacity":1000000000,"state":"ready","warmup_left_ms":0,"sequence":1}`,
	`{"service":"work","address":"127.0.0.1:1","zone":"west-1","version":"v","capacity":8,"state":"asleep","warmup_left_ms":0,"sequence":1}`,
	`{"service":"work","address":"127.0.0.1:1","zone":"west-1","version":"v","capacity":8,"state":"ready","warmup_left_ms":-9223372036854775808,"sequence":1}`,
}

// disruptEntries has upstreams start again under their ids, and other writers write
// where they do, until the context ends.
func (w *world) disruptEntries(ctx context.Context) {
	random := rand.New(rand.NewPCG(w.seed, entriesSalt))
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(entriesGap/2 + rand.N(entriesGap)):
		}
		began, kind := time.Now(), random.IntN(3)
		switch kind {
		case 0:
			w.restartUnderID(random)
		case 1:
			w.overwriteEntry(random)
		default:
			w.writeForeignEntries(random)
		}
		w.record.fault(began, []string{"start an upstream again under its id", "overwrite an upstream's entry", "write entries of no upstream"}[kind])
	}
}

// restartUnderID cuts an upstream off, as by a crash behind a cut: the connections to
// it never say that they ended. Then it is there again, with the id that it had.
func (w *world) restartUnderID(random *rand.Rand) {
	u := w.takeUpstream()
	if u == nil {
		return
	}
	end := u.disruptions.begin()
	u.link.silenceOpen()
	u.link.set(silence)
	time.Sleep(300*time.Millisecond + time.Duration(random.IntN(1500))*time.Millisecond)
	u.bornAt(time.Now())
	u.link.set(pass)
	w.giveBack(u)
	end()
}

// overwriteEntry puts a strange entry over an upstream's. It may get no new work from
// drainWithin on, until its own entry is back.
func (w *world) overwriteEntry(random *rand.Rand) {
	u := w.takeUpstream()
	if u == nil {
		return
	}
	w.store.PutForeign(u.ID, []byte(strangeEntries[random.IntN(len(strangeEntries))]))
	u.noWorkFrom.Store(time.Now().Add(drainWithin + slack).UnixNano())
	time.Sleep(drainWithin + slack + time.Duration(random.IntN(1000))*time.Millisecond)
	u.noWorkFrom.Store(0)
	w.giveBack(u)
}

// writeForeignEntries puts all strange entries under ids of no upstream, and takes them
// away.
func (w *world) writeForeignEntries(random *rand.Rand) {
	for i, value := range strangeEntries {
		w.store.PutForeign("strange-"+string(rune('a'+i)), []byte(value))
	}
	time.Sleep(time.Duration(random.IntN(1000)) * time.Millisecond)
	for i := range strangeEntries {
		w.store.DeleteUpstream("strange-" + string(rune('a'+i)))
	}
}

// giveBack writes an upstream's entry again and counts it as alive.
func (w *world) giveBack(u *upstream) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.store.PutUpstream(u.ID, u.row(false))
	if !slices.Contains(w.alive, u) {
		w.alive = append(w.alive, u)
	}
}
