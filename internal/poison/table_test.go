package poison

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestQuarantineByOneHost(t *testing.T) {
	for _, c := range []struct {
		name        string
		attempts    []attempt
		quarantined bool
	}{
		{"two one after the other", []attempt{{"a", 0, 50}, {"b", 50, 100}}, false},
		{"three one after the other", []attempt{{"a", 0, 50}, {"b", 50, 100}, {"c", 100, 150}}, true},
		{"three one after the other, recorded late and in another order", []attempt{{"c", 100, 150}, {"a", 0, 50}, {"b", 50, 100}}, true},
		{"one run three times", []attempt{{"a", 0, 50}, {"a", 60, 70}, {"a", 80, 90}}, false},
		{"twelve killed together", together(12), false},
		{"killed together twice, the second time all retries", append(together(5), attempt{"x", 50, 100}, attempt{"y", 50, 100}), false},
		{"one long attempt beside short ones", []attempt{{"a", 0, 500}, {"b", 10, 60}, {"c", 70, 120}}, false},
		{"three one after the other beside a long one", []attempt{{"a", 0, 500}, {"b", 10, 60}, {"c", 70, 120}, {"d", 130, 200}}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			table, events := newTable("h")
			for _, a := range c.attempts {
				a.record(table, fingerprintOf("f"))
			}
			require.Equal(t, c.quarantined, table.Quarantined(fingerprintOf("f"), at(600)))
			require.Equal(t, c.quarantined, len(events.quarantined) == 1, "the observer is notified once")
			require.True(t, table.Suspected(fingerprintOf("f")))
			require.False(t, table.Suspected(fingerprintOf("other")))
		})
	}
}

// together returns attempts on n upstreams that were killed at the same time.
func together(n int) []attempt {
	var all []attempt
	for i := range n {
		all = append(all, attempt{fmt.Sprint("together-", i), 5 * i % 45, 50})
	}
	return all
}

func TestAResponseClearsARequest(t *testing.T) {
	table, _ := newTable("h")
	f := fingerprintOf("popular")
	for i := range 40 {
		attempt{fmt.Sprint(2 * i), 100 * i, 100*i + 20}.record(table, f)
		attempt{fmt.Sprint(2*i + 1), 100*i + 20, 100*i + 40}.record(table, f)
		require.False(t, table.Empty())
		table.RecordResponse(f)
		require.False(t, table.Quarantined(f, at(100*i+50)))
		require.True(t, table.Empty(), "requests are no longer compared with suspects")
	}
}

func TestAReleasedRequestNeedsThreeMoreTerminations(t *testing.T) {
	table, events := newTable("h")
	f := fingerprintOf("f")
	for i := range 3 {
		attempt{fmt.Sprint("a", i), 100 * i, 100*i + 50}.record(table, f)
	}
	require.True(t, table.Quarantined(f, at(300)))
	table.Release(f)
	require.False(t, table.Quarantined(f, at(300)))
	require.Equal(t, []Fingerprint{f}, events.released)
	for i := range 3 {
		require.False(t, table.Quarantined(f, at(400)))
		attempt{fmt.Sprint("b", i), 400 + 100*i, 450 + 100*i}.record(table, f)
	}
	require.True(t, table.Quarantined(f, at(700)))
}

// A request may share three upstreams with a poison request, because both have the same first
// and second upstream for their keys and their clients retry at the same time. It must not be
// quarantined.
func TestARequestThatOnlySharedUpstreamsIsNotQuarantined(t *testing.T) {
	guilty, innocent := fingerprintOf("guilty"), fingerprintOf("innocent")
	table, _ := newTable("h")
	for i := range 3 {
		a := attempt{fmt.Sprint(i), 100 * i, 100*i + 50}
		a.record(table, guilty)
		a.record(table, innocent)
	}
	require.False(t, table.Quarantined(innocent, at(300)), "one of the two is innocent")
	require.False(t, table.Quarantined(guilty, at(300)))
	attempt{"3", 300, 350}.record(table, guilty)
	require.True(t, table.Quarantined(guilty, at(400)))
	require.False(t, table.Quarantined(innocent, at(400)))

	t.Run("two requests that share four are quarantined", func(t *testing.T) {
		attempt{"3", 300, 350}.record(table, innocent)
		require.True(t, table.Quarantined(guilty, at(400)))
		require.True(t, table.Quarantined(innocent, at(400)))
		attempt{"4", 400, 450}.record(table, guilty) // it was in flight when guilty was quarantined
		require.False(t, table.Quarantined(innocent, at(500)), "the next termination shows which is innocent")
	})
	t.Run("a second poison request is quarantined, too", func(t *testing.T) {
		other := fingerprintOf("other")
		for i := range 3 {
			attempt{fmt.Sprint("x", i), 1000 + 100*i, 1050 + 100*i}.record(table, other)
		}
		require.True(t, table.Quarantined(other, at(1300)))
		require.True(t, table.Quarantined(guilty, at(1300)))
	})
}

func TestHostsMergeTheirTerminations(t *testing.T) {
	a, eventsOfA := newTable("a")
	b, _ := newTable("b")
	c, _ := newTable("c")
	f := fingerprintOf("f")
	attempt{"1", 0, 50}.record(a, f)
	attempt{"2", 200, 250}.record(b, f)
	attempt{"3", 400, 450}.record(c, f)
	sendUpdate(a, b, 0, 460, 40)
	sendUpdate(b, c, 0, 540, 40)
	require.True(t, c.Quarantined(f, at(600)), "a host forwards the terminations that others reported")
	require.False(t, a.Quarantined(f, at(600)))
	sendUpdate(c, a, 0, 600, 40)
	require.Equal(t, map[string]time.Time{"1": at(50), "2": at(330), "3": at(490)}, eventsOfA.terminated, "each host learns of all terminations")
	require.True(t, a.Quarantined(f, at(700)))
	a.RecordResponse(f)
	sendUpdate(a, b, 0, 700, 40)
	sendUpdate(b, c, 0, 800, 40)
	for _, host := range []*Table{a, b, c} {
		require.False(t, host.Quarantined(f, at(900)))
		require.True(t, host.Empty())
	}
}

// Reports have different transit times, so that terminations at the same time seem to be one
// after the other. They must be counted once.
func TestUpstreamsKilledTogetherCountOnceAtAllHosts(t *testing.T) {
	f := fingerprintOf("popular")
	sum, _ := newTable("sum")
	for i, delay := range []int{0, 30, 60, 90, 45, 75} {
		host, _ := newTable(fmt.Sprint(i))
		attempt{fmt.Sprint("run-", i), 40, 50}.record(host, f)
		sendUpdate(host, sum, 0, 60, delay)
	}
	require.False(t, sum.Quarantined(f, at(200)))
}

// Attempts of one request may follow each other within a millisecond. All hosts must see that
// they are consecutive, although the reports have different transit times.
func TestConsecutiveAttemptsOfAHostAreConsecutiveAtAllHosts(t *testing.T) {
	f := fingerprintOf("f")
	a, _ := newTable("a")
	b, _ := newTable("b")
	var has int64
	for i, delay := range []int{60, 20, 5} {
		attempt{fmt.Sprint(i), 70 * i, 70 * (i + 1)}.record(a, f)
		has = sendUpdate(a, b, has, 70*(i+1), delay)
	}
	require.True(t, a.Quarantined(f, at(300)))
	require.True(t, b.Quarantined(f, at(300)))
}

func TestReportsMayBeLostRepeatedAndLate(t *testing.T) {
	f := fingerprintOf("f")
	a, _ := newTable("a")
	b, events := newTable("b")
	for i := range 3 {
		attempt{fmt.Sprint(i), 100 * i, 100*i + 50}.record(a, f)
	}
	first, upTo := a.since(0, at(300), All)
	a.RecordResponse(f)
	second, _ := a.since(upTo, at(300), All)
	require.Len(t, second, 1)
	b.Merge(second, at(300))
	require.False(t, b.Quarantined(f, at(300)))
	for range 3 {
		b.Merge(first, at(400))
		b.Merge(second, at(400))
	}
	require.False(t, b.Quarantined(f, at(400)), "cleared terminations stay cleared")
	require.Equal(t, 1, events.changes, "reports without changes are not forwarded")
	reports, _ := b.since(0, at(400), All)
	require.Len(t, reports, 1, "the suspect is reported to a host that has not seen it")
}

func TestASequenceNumberOfAnotherProcessReturnsAllReports(t *testing.T) {
	a, _ := newTable("a")
	attempt{"1", 0, 50}.record(a, fingerprintOf("f"))
	_, upTo := a.since(0, at(100), All)
	restarted, _ := newTable("a2")
	attempt{"2", 0, 50}.record(restarted, fingerprintOf("g"))
	reports, other := restarted.since(upTo, at(100), All)
	require.Len(t, reports, 1)
	require.NotEqual(t, upTo, other)
	none, same := restarted.since(other, at(100), All)
	require.Empty(t, none)
	require.Equal(t, other, same)
}

func TestARequestIsTriedAgainAfterItsQuarantine(t *testing.T) {
	table, _ := newTable("h")
	f := fingerprintOf("f")
	for i := range 3 {
		attempt{fmt.Sprint(i), 100 * i, 100*i + 50}.record(table, f)
	}
	later := at(250).Add(quarantinePeriod)
	require.True(t, table.Quarantined(f, later.Add(-time.Millisecond)))
	require.False(t, table.Quarantined(f, later))
	table.RecordTermination(f, Attempt{Run: "again", Began: later, Ended: later.Add(50 * time.Millisecond)})
	require.True(t, table.Quarantined(f, later.Add(time.Second)), "one more termination suffices")
	table.CleanUp(at(200).Add(terminationRetention))
	require.Empty(t, table.List(), "two of the terminations are too old")
	table.CleanUp(later.Add(terminationRetention + time.Second))
	require.True(t, table.Empty())
	require.Empty(t, table.suspects)
}

// A client that sends many requests that each terminate one upstream must not evict a request
// that has terminated three.
func TestSuspectsAreBounded(t *testing.T) {
	table, _ := newTable("h")
	for i := range 3 {
		attempt{fmt.Sprint(i), 100 * i, 100*i + 50}.record(table, fingerprintOf("guilty"))
	}
	for i := range 3 * maxSuspects {
		attempt{fmt.Sprint("r", i), 1000 + 20*i, 1001 + 20*i}.record(table, fingerprintOf(fmt.Sprint("filler-", i)))
	}
	require.Len(t, table.suspects, maxSuspects)
	require.True(t, table.Quarantined(fingerprintOf("guilty"), at(20000)))
	require.True(t, table.Suspected(fingerprintOf(fmt.Sprint("filler-", 3*maxSuspects-1))), "the latest are kept")

	t.Run("terminations and messages are bounded", func(t *testing.T) {
		for i := range 2 * maxTerminations {
			attempt{fmt.Sprint("more-", i), 20000 + 100*i, 20050 + 100*i}.record(table, fingerprintOf("guilty"))
		}
		require.Len(t, table.suspects[fingerprintOf("guilty")].terminations, maxTerminations)
		other, _ := newTable("other")
		var has int64
		for messages := 0; ; messages++ {
			now := at(30000 + 1000*messages)
			reports, upTo := table.since(has, now, All)
			require.LessOrEqual(t, len(reports), maxReports)
			if len(reports) == 0 {
				require.GreaterOrEqual(t, messages, maxSuspects/maxReports)
				break
			}
			other.Merge(reports, now)
			has = upTo
		}
		require.Len(t, other.suspects, maxSuspects)
		require.True(t, other.Quarantined(fingerprintOf("guilty"), at(40000)))
	})
}

// When a zone is lost, or half of all upstreams are killed at once, a thousand requests fail
// with them. If all became suspects, each host would receive each of them from every host
// that sends it heartbeats.
func TestFewOfManyRequestsThatFailTogetherAreSuspected(t *testing.T) {
	table, _ := newTable("h")
	attempt{"first", 0, 50}.record(table, fingerprintOf("guilty"))
	for i := range 1000 {
		attempt{fmt.Sprint("r", i%200), 40, 100}.record(table, fingerprintOf(fmt.Sprint("innocent-", i)))
	}
	require.LessOrEqual(t, len(table.suspects), newSuspectBurst+newSuspectRate/10)
	attempt{"second", 110, 160}.record(table, fingerprintOf("guilty"))
	attempt{"third", 170, 220}.record(table, fingerprintOf("guilty"))
	require.True(t, table.Quarantined(fingerprintOf("guilty"), at(300)), "further terminations of an existing suspect are recorded")
	attempt{"later", 1000, 1050}.record(table, fingerprintOf("newcomer"))
	require.True(t, table.Suspected(fingerprintOf("newcomer")), "a second later, other requests become suspects")
}

func TestInvalidReportsAreIgnored(t *testing.T) {
	long := string(make([]byte, maxNameBytes+1))
	table, events := newTable("h")
	table.Merge([]Report{{Fingerprint: fingerprintOf("f"), Terminations: []Termination{
		{Host: "x", Ended: 1}, {Run: long, Host: "x", Ended: 1}, {Run: "r", Host: long, Ended: 1},
		{Run: "r", Host: "x", Began: 2, Ended: 1}, {Run: "r", Host: "x", Age: -1}, {Run: "r", Host: "x", Age: terminationRetention.Milliseconds()},
	}}}, at(0))
	require.Empty(t, table.suspects)
	require.Zero(t, events.changes)
}

// Two hosts that saw terminations at nearly the same time each took the other's for the last one,
// so that no host stored the quarantine.
func TestAQuarantineIsStoredWhenHostsDisagreeOnItsLastTermination(t *testing.T) {
	f := fingerprintOf("poison")
	a, seenByA := newTable("a")
	b, seenByB := newTable("b")
	attempt{"u1", 0, 10}.record(a, f)
	known := sendUpdate(a, b, 0, 20, 0)
	attempt{"u2", 200, 210}.record(b, f)
	attempt{"u3", 400, 500}.record(a, f)
	attempt{"u4", 205, 505}.record(b, f)
	fromA, _ := a.since(known, at(510), All)
	fromB, _ := b.since(0, at(510), All)
	const transit = 20
	b.Merge(fromA, at(510+transit))
	a.Merge(fromB, at(510+transit))
	require.Len(t, seenByA.quarantined, 1)
	require.Len(t, seenByB.quarantined, 1)
	require.True(t, seenByA.quarantined[0].Own || seenByB.quarantined[0].Own)
}

// A host that starts reads all quarantines at once. The rate of new suspects, which is meant
// for requests that fail together, left out those beyond newSuspectBurst.
func TestAllQuarantinesThatAreReadAtOnceAreInForce(t *testing.T) {
	var stored []Report
	for n := range maxSuspects {
		r := Report{Fingerprint: fingerprintOf(fmt.Sprint(n))}
		for i := range int64(quarantineThreshold) {
			r.Terminations = append(r.Terminations, Termination{Run: fmt.Sprint(n, "-", i), Host: "x", Began: 100 * i, Ended: 100*i + 50, Age: 1000 - 100*i})
		}
		stored = append(stored, r)
	}
	table, _ := newTable("a")
	table.Merge(stored, at(0))
	for _, r := range stored {
		require.True(t, table.Quarantined(r.Fingerprint, at(0)))
	}
}

// A host that starts must not take the update that a peer made for its earlier process for
// all that the peer knows, nor the first message of several. It acknowledged the former, and
// the peer never sent it the earlier suspicions.
func TestAnUpdateForAnEarlierProcessIsNotComplete(t *testing.T) {
	a, _ := newTable("a")
	earlier, _ := newTable("b1")
	attempt{"u", 0, 10}.record(a, fingerprintOf("f"))
	ofB := a.MergeUpdate(earlier.UpdateFor(Watermarks{}, at(20), All), at(20))
	ofA := earlier.MergeUpdate(a.UpdateFor(ofB, at(30), All), at(30))
	ofB = a.MergeUpdate(earlier.UpdateFor(ofA, at(40), All), at(40))
	next := a.UpdateFor(ofB, at(50), All)
	require.Empty(t, next.Reports)
	require.True(t, earlier.Completes(next))
	restarted, _ := newTable("b2")
	require.False(t, restarted.Completes(next))
	ofA = restarted.MergeUpdate(next, at(50))
	ofB = a.MergeUpdate(restarted.UpdateFor(ofA, at(60), All), at(60))
	require.Len(t, a.UpdateFor(ofB, at(70), All).Reports, 1)
	require.True(t, restarted.Completes(a.UpdateFor(Watermarks{}, at(60), All)))
	for n := range maxReports {
		attempt{fmt.Sprint("u", n), 100, 110}.record(a, fingerprintOf(fmt.Sprint(n)))
	}
	require.False(t, restarted.Completes(a.UpdateFor(Watermarks{}, at(200), All)), "more follow")
}
