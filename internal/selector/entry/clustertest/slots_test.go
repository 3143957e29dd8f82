package clustertest

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/selector/store"
)

// Guards against slots that are used twice or lost while hosts, the platform and
// links fail under a load above the capacity. No upstream may receive a request
// without a free slot, and the full capacity must be available after the fault.
func TestSlotsAreConserved(t *testing.T) {
	cases := []struct {
		name  string
		fault func(c *Cluster)
		// duration is the duration of the load during the fault. It is at least
		// 20 s.
		duration time.Duration
	}{
		{"nothing fails", func(*Cluster) {}, 0},
		{"host killed", func(c *Cluster) { c.Kill("costa-a-1") }, 0},
		{"host killed and dropped from the list", func(c *Cluster) {
			c.Host("costa-a-1").Close()
			c.hosts.Delete("costa-a-1")
			c.Memory.DropHost("costa-a-1")
		}, 0},
		{"host killed and restarted", func(c *Cluster) {
			c.Kill("costa-a-1")
			time.Sleep(500 * time.Millisecond)
			c.Start("costa-a-1")
		}, 0},
		{"host paused for 30 s", func(c *Cluster) { c.CutOff(30*time.Second, "costa-a-1") }, 35 * time.Second},
		{"host paused for 30 s and listed as gone", func(c *Cluster) {
			time.AfterFunc(4*time.Second, func() { c.Memory.SetHost("costa-a-1", store.Gone) })
			c.CutOff(30*time.Second, "costa-a-1")
			c.Memory.SetHost("costa-a-1", store.Live)
		}, 35 * time.Second},
		{"response of a roster write lost", func(c *Cluster) {
			c.LoseResponses(5 * time.Second)
			c.Kill("costa-a-1")
			time.Sleep(200 * time.Millisecond)
			c.Start("costa-a-1")
		}, 0},
		{"platform down", func(c *Cluster) { c.StoreDown(12 * time.Second) }, 0},
		{"zone cut off", func(c *Cluster) { c.CutOff(12*time.Second, "costa-a", "up-costa-a") }, 0},
		{"platform down and host restarted", func(c *Cluster) {
			c.Kill("costa-a-1")
			go c.StoreDown(10 * time.Second)
			time.Sleep(time.Second)
			c.Start("costa-a-1")
		}, 0},
		{"zone cut off and one of its hosts killed", func(c *Cluster) {
			go c.CutOff(12*time.Second, "costa-a", "up-costa-a")
			time.Sleep(5 * time.Second)
			c.Kill("costa-a-2")
		}, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			Run(t, Anywhere, func(c *Cluster) {
				const perSecond = 150 // of a capacity of 120
				before := c.Load(perSecond, 4*time.Second)
				settled := make(chan time.Duration, 1)
				go func() {
					time.Sleep(time.Second)
					tc.fault(c)
					settled <- c.WaitSettled(time.Minute)
				}()
				duration := max(tc.duration, 20*time.Second)
				during := c.Load(perSecond, duration)
				recovery := <-settled
				after := c.Load(perSecond, 4*time.Second)
				t.Logf("answered per second: before %d, during %d, after %d; refused %d, in doubt %d; all slots held %s after the fault",
					before.Good/4, during.Good/int(duration.Seconds()), after.Good/4, during.Refused, during.Doubt, recovery)
				require.Zero(t, c.Over(), "requests without a free slot")
				require.Zero(t, before.Wrong+during.Wrong+after.Wrong, "responses to other requests")
				held, slots := c.Held()
				require.NotEqual(t, time.Duration(-1), recovery, "slots not recovered: %d of %d held", held, slots)
				require.Greater(t, after.Good, before.Good*9/10, "capacity not recovered")
			})
		})
	}
}
