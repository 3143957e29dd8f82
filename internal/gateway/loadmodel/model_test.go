package loadmodel

import (
	"bytes"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/balance"
	"cairndock/internal/settings"
)

// seeds and playTime are enough for the differences that the tests look for.
const (
	seeds    = 3
	playTime = 12 * time.Second
)

func read(t *testing.T, name string) Scenario {
	t.Helper()
	s, err := scenario(name)
	require.NoError(t, err)
	return s
}

func scenario(name string) (Scenario, error) {
	text, err := os.ReadFile("testdata/" + name + ".toml")
	if err != nil {
		return Scenario{}, err
	}
	s, err := Parse(text)
	s.Length = min(s.Length, at(playTime))
	return s, err
}

// plays are plays of one scenario and variant, each with another seed.
type plays []*Result

func play(s Scenario, v Variant) plays {
	var p plays
	for seed := range uint64(seeds) {
		p = append(p, Run(s, v, seed))
	}
	return p
}

// standard are plays of the scenario as it is by the default variant, which several
// tests compare with. They take a while with the race detector, and are not changed.
var standard = sync.OnceValue(func() plays {
	s, err := scenario("uneven-regions")
	if err != nil {
		panic(err) // read fails first
	}
	return play(s, DefaultVariant())
})

// mean gives the mean of a figure.
func (p plays) mean(figure func(*Result) float64) float64 {
	total := 0.0
	for _, r := range p {
		total += figure(r)
	}
	return total / float64(len(p))
}

// mean plays a scenario and gives the mean of one figure.
func mean(s Scenario, v Variant, figure func(*Result) float64) float64 {
	return play(s, v).mean(figure)
}

func credit(r *Result) float64 { return r.Total.Credit() }
func away(r *Result) float64   { return float64(r.Away) / float64(r.Attempts) }

func with(name string, change func(*balance.Policy)) Variant {
	p := balance.DefaultPolicy()
	change(&p)
	return DefaultVariant().WithBalance(name, p)
}

func TestARunRepeats(t *testing.T) {
	s := read(t, "uneven-regions")
	s.Length = settings.Duration(3 * time.Second)
	a, b := Run(s, DefaultVariant(), 1), Run(s, DefaultVariant(), 1)
	require.Equal(t, a.Total, b.Total)
	require.NotEqual(t, a.Total, Run(s, DefaultVariant(), 2).Total)
}

func TestVariantsGetTheSameCalls(t *testing.T) {
	s := read(t, "uneven-regions")
	s.Length = settings.Duration(3 * time.Second)
	require.Equal(t, Run(s, DefaultVariant(), 1).Total.Calls, Run(s, with("one", func(p *balance.Policy) { p.PreferenceList = 1 }), 1).Total.Calls)
}

// Each call ends once, and one way only.
func TestEveryCallEnds(t *testing.T) {
	s := read(t, "uneven-regions")
	s.Faults = []Fault{
		{Kind: Slow, At: at(time.Second), For: at(2 * time.Second), Service: "profiles", Part: 0.3, Factor: 10},
		{Kind: Shed, At: at(2 * time.Second), For: at(2 * time.Second), Service: "vault", Part: 1, Factor: 0.5},
		{Kind: Down, At: at(3 * time.Second), For: at(2 * time.Second), Service: "desk", Part: 0.5},
		{Kind: Burst, At: at(time.Second), For: at(3 * time.Second), Factor: 2},
		{Kind: Restart, At: at(4 * time.Second)},
	}
	s.Length = at(6 * time.Second)
	r := Run(s, DefaultVariant(), 1)
	f := r.Total
	require.Positive(t, f.Calls)
	require.Equal(t, f.Calls, f.InTime+f.Late+f.Refused+f.Failed)
	for name, n := range map[string]int{"in time": f.InTime, "late": f.Late, "refused": f.Refused, "failed": f.Failed} {
		require.Positive(t, n, name)
	}
}

func at(d time.Duration) settings.Duration { return settings.Duration(d) }

// A region with 2 of 20 upstreams kept 0.13 to 0.19 of its requests in place of 0.3, and
// what it could not serve went to the others by their size: the log of a day of
// high load had 7,346 of 9,059 of its largest route's attempts in other regions,
// and the zones of the region of middle size lost the most.
func TestUnevenRegionsAreServedBetterWhenKeysGoWhereCapacityIs(t *testing.T) {
	t.Parallel()
	s := read(t, "uneven-regions")
	before := with("lowest cost first", func(p *balance.Policy) { p.RegionFirst, p.SpareFirst, p.RegionCost = false, false, 3 })
	now, then := standard(), play(s, before)
	require.Greater(t, now.mean(credit), then.mean(credit)+0.002)
	require.Greater(t, now.mean((*Result).WorstRegion), then.mean((*Result).WorstRegion)+0.002)
	require.Less(t, now.mean(away), then.mean(away)-0.05, "bytes between regions cost")
}

// Where regions are alike, or there is one only, the rule changes nothing that
// clients notice, and requests stay at home.
func TestEvenRegionsServeThemselves(t *testing.T) {
	t.Parallel()
	s := read(t, "uneven-regions")
	s.Length = at(30 * time.Second) // the first seconds spill most
	for i := range s.Services {
		for zone := range s.Services[i].Upstreams {
			s.Services[i].Upstreams[zone] = 3
		}
	}
	require.Less(t, mean(s, DefaultVariant(), away), 0.05)
	for i := range s.Zones {
		s.Zones[i].Region = "only"
	}
	one := play(s, DefaultVariant())
	require.Zero(t, one.mean(away))
	require.Greater(t, one.mean(credit), 0.9)
}

// At a second upstream the object is not known: a longer list makes more first
// loads than it saves waiting, and a list of one has nowhere to go.
func TestTwoUpstreamsAKeyServeBetterThanOneOrThree(t *testing.T) {
	t.Parallel()
	s := read(t, "uneven-regions")
	two := standard().mean(credit)
	for _, n := range []int{1, 3} {
		other := with("list", func(p *balance.Policy) { p.PreferenceList = n })
		require.Greater(t, two, mean(s, other, credit)+0.002, n)
	}
}

// What the constants of package balance say of a busy hour.
func TestTheDefaultsServeABusyHourWell(t *testing.T) {
	t.Parallel()
	s := read(t, "uneven-regions")
	s.Length = at(30 * time.Second)
	s.Faults = []Fault{{Kind: Burst, At: at(5 * time.Second), For: at(15 * time.Second), Factor: 1.6}}
	inTime := func(r *Result) float64 { return 100 * float64(r.Total.InTime) / float64(r.Total.Calls) }
	byDefault := mean(s, DefaultVariant(), inTime)
	require.InDelta(t, 92.1, byDefault, 1)
	for _, c := range []struct {
		name   string
		change func(*balance.Policy)
		// least is how many more of 100 responses come in time by default.
		least float64
	}{
		{"a list of one", func(p *balance.Policy) { p.PreferenceList = 1 }, 8},
		{"spilled later", func(p *balance.Policy) { p.SpillAbove = 1.6 }, 0.5},
		{"refused sooner", func(p *balance.Policy) { p.RejectAbove = 1.4 }, 0.5},
		{"refused later", func(p *balance.Policy) { p.RejectAbove = 4 }, 0.5},
		{"another region as the last choice", func(p *balance.Policy) { p.RegionCost = 3 }, 1.5},
	} {
		require.Greater(t, byDefault, mean(s, with(c.name, c.change), inTime)+c.least, c.name)
	}
}

// Without upstreams' reports a host knows its own requests only, and sends to
// upstreams that others have filled.
func TestLoadReportsKeepRequestsFromBusyUpstreams(t *testing.T) {
	t.Parallel()
	s := read(t, "uneven-regions")
	without := with("no reports", func(p *balance.Policy) { p.LoadReports = false })
	require.Greater(t, standard().mean(credit), mean(s, without, credit)+0.02)
}

// hostsPerZone is the scenario uneven-regions with a number of hosts in each zone.
func hostsPerZone(t *testing.T, n int) Scenario {
	t.Helper()
	s := read(t, "uneven-regions")
	for i := range s.Zones {
		s.Zones[i].Hosts = n
	}
	return s
}

// Where 33 hosts of a zone got the requests of three, each met an upstream about once in
// 80 s: it knew no load, and the busiest upstream of a calm day got four times the mean.
// The same load on few hosts is what clients get when they are given the large ones.
func TestFewHostsKnowMoreOfUpstreamsThanMany(t *testing.T) {
	t.Parallel()
	// Of reports that count for a second alone, as they did then.
	forgetful := with("reports of 1 s", func(p *balance.Policy) { p.ReportTTLIntervals = 0 })
	few, many := play(hostsPerZone(t, 3), forgetful), play(hostsPerZone(t, 33), forgetful)
	require.Greater(t, few.mean(credit), many.mean(credit)+0.02)
	late := func(r *Result) float64 { return float64(r.Total.Late) / float64(r.Total.Calls) }
	require.Less(t, few.mean(late), 0.8*many.mean(late))
}

// Each of many hosts meets an upstream once in seconds, and took it for idle until then:
// so did all others, and its queue was full. What a few hosts believe changes less, as
// the next report comes soon.
func TestReportsCountLongerWhereTheyComeSeldom(t *testing.T) {
	t.Parallel()
	forgetful := with("reports of 1 s", func(p *balance.Policy) { p.ReportTTLIntervals = 0 })
	require.Greater(t, play(hostsPerZone(t, 33), DefaultVariant()).mean(credit), play(hostsPerZone(t, 33), forgetful).mean(credit)+0.01)
	require.Greater(t, play(hostsPerZone(t, 3), DefaultVariant()).mean(credit), play(hostsPerZone(t, 3), forgetful).mean(credit)-0.005)
}

// While upstreams refuse at random, a retry elsewhere serves what a refusal would
// send back to the client.
func TestRetriesServeWhatUpstreamsShed(t *testing.T) {
	t.Parallel()
	s := read(t, "uneven-regions")
	s.Faults = []Fault{{Kind: Shed, At: at(3 * time.Second), For: at(8 * time.Second), Service: "profiles", Part: 1, Factor: 0.2}}
	without := DefaultVariant()
	without.Retry = false
	require.Greater(t, mean(s, DefaultVariant(), credit), mean(s, without, credit)+0.005)
}

func TestEjectionAvoidsSlowUpstreams(t *testing.T) {
	t.Parallel()
	s := read(t, "uneven-regions")
	s.Faults = []Fault{{Kind: Slow, At: at(3 * time.Second), For: at(8 * time.Second), Service: "profiles", Part: 0.15, Factor: 12}}
	without := with("no ejection", func(p *balance.Policy) { p.Ejections = false })
	require.Greater(t, mean(s, DefaultVariant(), credit), mean(s, without, credit))
}

func TestAScenarioNamesItsFaults(t *testing.T) {
	for name, text := range map[string]string{
		"is not there":             "length = \"1s\"\n[[route]]\nname = \"r\"\nservice = \"none\"\nrate = 1\nwork = \"1ms\"\ndeadline = \"1s\"\n",
		"slots must be above 0":    "[[service]]\nname = \"s\"\n",
		"hosts, load and length":   "length = \"1s\"\n",
		"balance.preference_lists": "[[variant]]\nname = \"v\"\n[variant.balance]\npreference_lists = 2\n",
	} {
		_, err := Parse([]byte(text))
		require.ErrorContains(t, err, name)
	}
}

func TestAVariantNamesOnlyWhatItChanges(t *testing.T) {
	s := read(t, "uneven-regions")
	require.Equal(t, DefaultVariant(), s.Variants[0])
	require.Equal(t, with("list of one", func(p *balance.Policy) { p.PreferenceList = 1 }), s.Variants[4])
}

func TestResultsArePrintedSideBySide(t *testing.T) {
	s := read(t, "uneven-regions")
	s.Length = at(2 * time.Second)
	var b bytes.Buffer
	require.NoError(t, Print(&b, []*Result{Run(s, s.Variants[0], 1), Run(s, s.Variants[4], 1)}))
	require.Contains(t, b.String(), "list of one")
	require.Contains(t, b.String(), "credit of each variant")
}

// While every upstream of a service refused half of its requests at random, with
// free capacity, clients were told to return in 350 to 750 ms, as to full ones: in
// the log of such a day the refused of those nine seconds were a third of all that
// was lost, and nearly all that returned were served too late.
func TestClientsRefusedWithFreeCapacityReturnInTime(t *testing.T) {
	t.Parallel()
	s := read(t, "uneven-regions")
	s.Faults = []Fault{{Kind: Shed, At: at(3 * time.Second), For: at(8 * time.Second), Service: "profiles", Part: 1, Factor: 0.5}}
	asIfFull := DefaultVariant()
	asIfFull.PauseLeast, asIfFull.PauseJitter = at(350*time.Millisecond), at(400*time.Millisecond)
	late := func(r *Result) float64 { return float64(r.Total.Late) / float64(r.Total.Calls) }
	now, then := play(s, DefaultVariant()), play(s, asIfFull)
	require.Less(t, now.mean(late), 0.8*then.mean(late))
	require.Greater(t, now.mean(credit), then.mean(credit)+0.01)
}
