package balance_test

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/balance"
)

// choicesBeforeEvenLoad is the digest of the choices below, made by the code before
// Policy.EvenLoad and reports of other hosts existed (23016b40).
const choicesBeforeEvenLoad = "47eeaec7b349adb0"

// Guards against a change of decisions where the feature is off: each of 20,000 choices is
// compared, among reports, ended requests, busy and cold upstreams, retries and regions.
func TestChoicesWithoutEvenLoadAreUnchanged(t *testing.T) {
	b, random := newBalancer(3), rand.New(rand.NewPCG(1, 2))
	all, digest := ownAndOther(30, 80), xxhash.New()
	now := time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)
	for _, u := range all[:4] {
		u.ColdUntil = now.Add(time.Minute)
	}
	var outstanding []balance.Choice
	for range 20_000 {
		now = now.Add(time.Duration(random.IntN(10_000)) * time.Microsecond)
		q := balance.Query{Key: strconv.Itoa(random.IntN(400)), Upstreams: all, Now: now, Priority: random.IntN(4), WarmUpRate: 5}
		q.NoAffinity = random.IntN(8) == 0
		q.Bulk, q.Mixed = random.IntN(2) == 0, random.IntN(2) == 0
		if random.IntN(4) == 0 {
			q.Allows = func(region string) bool { return region == "west" }
		}
		if random.IntN(4) == 0 {
			u := all[random.IntN(len(all))]
			q.Tried, q.Unanswered = append(q.Tried, u.ID), append(q.Unanswered, u)
		}
		c, reason := b.Choose(q)
		fmt.Fprintln(digest, reason, c.Rank, c.Cold, c.LoadAge, strconv.FormatFloat(c.Load, 'g', 12, 64))
		if reason == balance.Chosen {
			fmt.Fprintln(digest, c.Upstream.ID)
			b.Sent(c, now)
			outstanding = append(outstanding, c)
		}
		for len(outstanding) > 60+random.IntN(60) {
			i := random.IntN(len(outstanding))
			b.ObserveLoad(outstanding[i].Upstream, random.IntN(5), random.IntN(4), now)
			b.Done(outstanding[i])
			outstanding = append(outstanding[:i], outstanding[i+1:]...)
		}
	}
	require.Equal(t, choicesBeforeEvenLoad, strconv.FormatUint(digest.Sum64(), 16))
}
