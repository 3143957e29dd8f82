package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// entriesGap is the mean time between two disruptions of upstreams' entries.
	entriesGap = 1500 * time.Millisecond
	// entriesSalt gives these disruptions a random source of their own, so that they do
	// not change the other faults of a seed.
	entriesSalt = 0x5eed
)

// malformedEntries are values that another writer puts under the keys of upstreams'
// entries.
var malformedEntries = []string{
	``, `null`, `[]`, `{`, "\xff\xfe\x00",
	`{"service":"work"}`,
	`{"service":7,"address":"127.0.0.1:1","zone":"west-1","version":"v","capacity":8,"state":"ready","warmup_left_ms":0,"sequence":1}`,
	`{"service":"work","address":"127.0.0.1:1","zone":"nowhere","version":"v","capacity":8,"state":"ready","warmup_left_ms":0,"sequence":1}`,
	`{"service":"work","address":"127.0.0.1:1","zone":"west-1","version":"v","capacity":1000000000,"state":"ready","warmup_left_ms":0,"sequence":1}`,
	`{"service":"work","address":"127.0.0.1:1","zone":"west-1","version":"v","capacity":8,"state":"asleep","warmup_left_ms":0,"sequence":1}`,
	`{"service":"work","address":"127.0.0.1:1","zone":"west-1","version":"v","capacity":8,"state":"ready","warmup_left_ms":-9223372036854775808,"sequence":1}`,
}

// entryWithoutStart is the text of an entry of another writer that lacks only the start time of
// the process, with the address and the zone of the upstream.
const entryWithoutStart = `{"service":"work","address":%q,"zone":%q,"version":"v","capacity":8,"state":"ready","warmup_left_ms":0,"sequence":1}`

// disruptEntries restarts upstreams under their IDs and writes malformed entries until
// the context ends.
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
			w.writeMalformedEntries(random)
		}
		w.record.fault(began, []string{"restart an upstream under its ID", "overwrite an upstream's entry", "write malformed entries of no upstream"}[kind])
	}
}

// restartUnderID disconnects an upstream as a crash behind a network fault does: hosts
// are not notified that their connections to it are closed. Then the upstream is
// available again under the same ID.
func (w *world) restartUnderID(random *rand.Rand) {
	u := w.removeUpstream()
	if u == nil {
		return
	}
	end := u.disruptions.begin()
	u.link.silenceOpenConns()
	u.link.set(silence)
	time.Sleep(300*time.Millisecond + time.Duration(random.IntN(1500))*time.Millisecond)
	u.setStartedAt(time.Now())
	u.link.set(pass)
	w.restoreUpstream(u)
	end()
}

// overwriteEntry replaces an upstream's entry by a malformed one. After maxDrainDelay
// the upstream must receive no new requests until its own entry is restored.
func (w *world) overwriteEntry(random *rand.Rand) {
	u := w.removeUpstream()
	if u == nil {
		return
	}
	entry := fmt.Sprintf(entryWithoutStart, u.link.address(), u.zone)
	if i := random.IntN(len(malformedEntries) + 1); i < len(malformedEntries) {
		entry = malformedEntries[i]
	}
	w.store.PutForeign(u.ID, []byte(entry))
	u.drainDeadline.Store(time.Now().Add(maxDrainDelay + slack).UnixNano())
	time.Sleep(maxDrainDelay + slack + time.Duration(random.IntN(1000))*time.Millisecond)
	u.drainDeadline.Store(0)
	w.restoreUpstream(u)
}

// writeMalformedEntries writes all malformed entries under IDs of no upstream, and
// deletes them later.
func (w *world) writeMalformedEntries(random *rand.Rand) {
	for i, value := range malformedEntries {
		w.store.PutForeign("strange-"+string(rune('a'+i)), []byte(value))
	}
	time.Sleep(time.Duration(random.IntN(1000)) * time.Millisecond)
	for i := range malformedEntries {
		w.store.DeleteUpstream("strange-" + string(rune('a'+i)))
	}
}

// restoreUpstream writes an upstream's entry again and makes the upstream available to
// faults.
func (w *world) restoreUpstream(u *upstream) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.store.PutUpstream(u.ID, u.row(false))
	if !slices.Contains(w.alive, u) {
		w.alive = append(w.alive, u)
	}
}
