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

// The number of seeds and the maximum length of a run are sufficient for the
// differences that the tests check.
const (
	seeds        = 3
	maxRunLength = 12 * time.Second
)

func loadScenario(t *testing.T, name string) Scenario {
	t.Helper()
	s, err := parseScenario(name)
	require.NoError(t, err)
	return s
}

func parseScenario(name string) (Scenario, error) {
	text, err := os.ReadFile("testdata/" + name + ".toml")
	if err != nil {
		return Scenario{}, err
	}
	s, err := Parse(text)
	s.Length = min(s.Length, duration(maxRunLength))
	return s, err
}

// runs are runs of one scenario and variant, each with another seed.
type runs []*Result

func runSeeds(s Scenario, v Variant) runs { return runSeedsTo(seeds, s, v) }

// runSeedsTo runs a scenario with the seeds below n.
func runSeedsTo(n uint64, s Scenario, v Variant) runs {
	var p runs
	for seed := range n {
		p = append(p, Run(s, v, seed))
	}
	return p
}

// baseline returns runs of the unchanged scenario with the default variant. Several
// tests compare with them. They are shared, and must not be modified, because they are
// slow with the race detector.
var baseline = sync.OnceValue(func() runs {
	s, err := parseScenario("uneven-regions")
	if err != nil {
		panic(err) // loadScenario reports the same error first
	}
	return runSeeds(s, DefaultVariant())
})

// mean returns the mean of a figure over the runs.
func (p runs) mean(figure func(*Result) float64) float64 {
	total := 0.0
	for _, r := range p {
		total += figure(r)
	}
	return total / float64(len(p))
}

// mean runs a scenario with all seeds and returns the mean of one figure.
func mean(s Scenario, v Variant, figure func(*Result) float64) float64 {
	return runSeeds(s, v).mean(figure)
}

func credit(r *Result) float64       { return r.Total.Credit() }
func awayFraction(r *Result) float64 { return float64(r.CrossRegion) / float64(r.Attempts) }

func withPolicy(name string, change func(*balance.Policy)) Variant {
	p := balance.DefaultPolicy()
	change(&p)
	return DefaultVariant().WithBalance(name, p)
}

func TestARunRepeats(t *testing.T) {
	s := loadScenario(t, "uneven-regions")
	s.Length = settings.Duration(3 * time.Second)
	a, b := Run(s, DefaultVariant(), 1), Run(s, DefaultVariant(), 1)
	require.Equal(t, a.Total, b.Total)
	require.NotEqual(t, a.Total, Run(s, DefaultVariant(), 2).Total)
}

func TestVariantsGetTheSameCalls(t *testing.T) {
	s := loadScenario(t, "uneven-regions")
	s.Length = settings.Duration(3 * time.Second)
	require.Equal(t, Run(s, DefaultVariant(), 1).Total.Calls, Run(s, withPolicy("one", func(p *balance.Policy) { p.PreferenceList = 1 }), 1).Total.Calls)
}

// Guards against calls that are lost or counted twice: under faults of all kinds, each
// call must end exactly once, and each result must occur.
func TestEveryCallEnds(t *testing.T) {
	s := loadScenario(t, "uneven-regions")
	s.Faults = []Fault{
		{Kind: Slow, At: duration(time.Second), For: duration(2 * time.Second), Service: "profiles", Fraction: 0.3, Factor: 10},
		{Kind: Shed, At: duration(2 * time.Second), For: duration(2 * time.Second), Service: "vault", Fraction: 1, Factor: 0.5},
		{Kind: Down, At: duration(3 * time.Second), For: duration(2 * time.Second), Service: "desk", Fraction: 0.5},
		{Kind: Burst, At: duration(time.Second), For: duration(3 * time.Second), Factor: 2},
		{Kind: Restart, At: duration(4 * time.Second)},
	}
	s.Length = duration(6 * time.Second)
	r := Run(s, DefaultVariant(), 1)
	f := r.Total
	require.Positive(t, f.Calls)
	require.Equal(t, f.Calls, f.InTime+f.Late+f.Refused+f.Failed)
	for name, n := range map[string]int{"in time": f.InTime, "late": f.Late, "refused": f.Refused, "failed": f.Failed} {
		require.Positive(t, n, name)
	}
}

func duration(d time.Duration) settings.Duration { return settings.Duration(d) }

// Guards against needless requests to other regions. With the lowest cost first, a
// region with 2 of 20 upstreams served a fraction of 0.13 to 0.19 of its requests
// instead of 0.3, and the rest went to the other regions in proportion to their size. The
// log of a day of high load shows 7,346 of 9,059 attempts of the largest route in other
// regions, and the zones of the medium-sized region lost the most.
func TestUnevenRegionsAreServedBetterWhenKeysGoWhereCapacityIs(t *testing.T) {
	t.Parallel()
	s := loadScenario(t, "uneven-regions")
	before := withPolicy("lowest cost first", func(p *balance.Policy) { p.RegionFirst, p.SpareFirst, p.RegionCost = false, false, 3 })
	current, previous := baseline(), runSeeds(s, before)
	require.Greater(t, current.mean(credit), previous.mean(credit)+0.002)
	require.Greater(t, current.mean((*Result).WorstRegion), previous.mean((*Result).WorstRegion)+0.002)
	require.Less(t, current.mean(awayFraction), previous.mean(awayFraction)-0.05, "the fraction of attempts in other regions is too high; traffic between regions has a cost")
}

// Guards against requests to other regions where they bring nothing: with equal regions,
// or a single one, requests must stay in their own region and clients must not be served
// worse.
func TestRequestsStayInTheirRegionWhenRegionsAreEqual(t *testing.T) {
	t.Parallel()
	s := loadScenario(t, "uneven-regions")
	s.Length = duration(30 * time.Second) // most requests to other regions occur in the first seconds
	for i := range s.Services {
		for zone := range s.Services[i].Upstreams {
			s.Services[i].Upstreams[zone] = 3
		}
	}
	require.Less(t, mean(s, DefaultVariant(), awayFraction), 0.05)
	for i := range s.Zones {
		s.Zones[i].Region = "only"
	}
	one := runSeeds(s, DefaultVariant())
	require.Zero(t, one.mean(awayFraction))
	require.Greater(t, one.mean(credit), 0.9)
}

// Each further upstream in the preference list of a key has to load the object first. A
// list of three costs more such loads than it saves in waiting time, and a list of one
// has no alternative when its upstream is busy.
func TestTwoUpstreamsPerKeyServeBetterThanOneOrThree(t *testing.T) {
	t.Parallel()
	s := loadScenario(t, "uneven-regions")
	two := baseline().mean(credit)
	for _, n := range []int{1, 3} {
		other := withPolicy("list", func(p *balance.Policy) { p.PreferenceList = n })
		require.Greater(t, two, mean(s, other, credit)+0.002, n)
	}
}

// Guards against a worse choice of the defaults of package balance: under high load,
// each other setting must serve fewer responses in time.
func TestTheDefaultsServeABusyHourWell(t *testing.T) {
	t.Parallel()
	s := loadScenario(t, "uneven-regions")
	s.Length = duration(30 * time.Second)
	s.Faults = []Fault{{Kind: Burst, At: duration(5 * time.Second), For: duration(15 * time.Second), Factor: 1.6}}
	inTime := func(r *Result) float64 { return 100 * float64(r.Total.InTime) / float64(r.Total.Calls) }
	defaults := mean(s, DefaultVariant(), inTime)
	require.InDelta(t, 92.1, defaults, 1)
	for _, c := range []struct {
		name   string
		change func(*balance.Policy)
		// minGain is by how many percentage points more responses are in time with the
		// defaults.
		minGain float64
	}{
		{"a list of one", func(p *balance.Policy) { p.PreferenceList = 1 }, 8},
		{"spilled later", func(p *balance.Policy) { p.SpillAbove = 1.6 }, 0.5},
		{"refused sooner", func(p *balance.Policy) { p.RejectAbove = 1.4 }, 0.5},
		{"refused later", func(p *balance.Policy) { p.RejectAbove = 4 }, 0.5},
		{"another region as the last choice", func(p *balance.Policy) { p.RegionCost = 3 }, 1.5},
	} {
		require.Greater(t, defaults, mean(s, withPolicy(c.name, c.change), inTime)+c.minGain, c.name)
	}
}

// Without load reports, a host sees only its own requests and sends requests to
// upstreams that other hosts have filled.
func TestLoadReportsKeepRequestsFromBusyUpstreams(t *testing.T) {
	t.Parallel()
	s := loadScenario(t, "uneven-regions")
	without := withPolicy("no reports", func(p *balance.Policy) { p.LoadReports = false })
	require.Greater(t, baseline().mean(credit), mean(s, without, credit)+0.02)
}

// hostsPerZone returns the scenario uneven-regions with n hosts in each zone.
func hostsPerZone(t *testing.T, n int) Scenario {
	t.Helper()
	s := loadScenario(t, "uneven-regions")
	for i := range s.Zones {
		s.Zones[i].Hosts = n
	}
	return s
}

// Guards the reason for directing clients to a few large hosts. When 33 hosts of a zone
// shared the requests of three, each host sent a request to the same upstream only about
// once in 80 s. The hosts had no current load reports, and the busiest upstream received
// four times the mean on a day of low load.
func TestFewHostsKnowMoreOfUpstreamsThanMany(t *testing.T) {
	t.Parallel()
	// Load reports are valid for 1 s only, as they were in that failure.
	shortReports := withPolicy("reports of 1 s", func(p *balance.Policy) { p.ReportTTLIntervals = 0 })
	few, many := runSeeds(hostsPerZone(t, 3), shortReports), runSeeds(hostsPerZone(t, 33), shortReports)
	require.Greater(t, few.mean(credit), many.mean(credit)+0.02)
	late := func(r *Result) float64 { return float64(r.Total.Late) / float64(r.Total.Calls) }
	require.Less(t, few.mean(late), 0.8*many.mean(late))
}

// With many hosts, each one sends a request to the same upstream only once in several
// seconds. If load reports expire earlier, all hosts take the upstream for idle, and its
// queue fills up. With few hosts the validity matters less, because the next report
// arrives soon.
func TestReportsCountLongerWhereTheyComeSeldom(t *testing.T) {
	t.Parallel()
	const seeds = 16 // the runs differ more than those of other tests
	shortReports := withPolicy("reports of 1 s", func(p *balance.Policy) { p.ReportTTLIntervals = 0 })
	require.Greater(t, runSeedsTo(seeds, hostsPerZone(t, 33), DefaultVariant()).mean(credit), runSeedsTo(seeds, hostsPerZone(t, 33), shortReports).mean(credit)+0.01)
	require.Greater(t, runSeeds(hostsPerZone(t, 3), DefaultVariant()).mean(credit), runSeeds(hostsPerZone(t, 3), shortReports).mean(credit)-0.005)
}

// While upstreams refuse requests at random, a retry at another upstream must serve
// requests that would otherwise be refused to the client.
func TestRetriesServeWhatUpstreamsShed(t *testing.T) {
	t.Parallel()
	s := loadScenario(t, "uneven-regions")
	s.Faults = []Fault{{Kind: Shed, At: duration(3 * time.Second), For: duration(8 * time.Second), Service: "profiles", Fraction: 1, Factor: 0.2}}
	without := DefaultVariant()
	without.Retry = false
	require.Greater(t, mean(s, DefaultVariant(), credit), mean(s, without, credit)+0.005)
}

func TestEjectionAvoidsSlowUpstreams(t *testing.T) {
	t.Parallel()
	s := loadScenario(t, "uneven-regions")
	s.Faults = []Fault{{Kind: Slow, At: duration(3 * time.Second), For: duration(8 * time.Second), Service: "profiles", Fraction: 0.15, Factor: 12}}
	without := withPolicy("no ejection", func(p *balance.Policy) { p.Ejections = false })
	require.Greater(t, mean(s, DefaultVariant(), credit), mean(s, without, credit))
}

func TestInvalidScenarioIsAnError(t *testing.T) {
	for want, text := range map[string]string{
		"is not defined":           "length = \"1s\"\n[[route]]\nname = \"r\"\nservice = \"none\"\nrate = 1\nwork = \"1ms\"\ndeadline = \"1s\"\n",
		"slots must be above 0":    "[[service]]\nname = \"s\"\n",
		"hosts, load and length":   "length = \"1s\"\n",
		"balance.preference_lists": "[[variant]]\nname = \"v\"\n[variant.balance]\npreference_lists = 2\n",
	} {
		_, err := Parse([]byte(text))
		require.ErrorContains(t, err, want)
	}
}

func TestVariantChangesOnlyTheSettingsItNames(t *testing.T) {
	s := loadScenario(t, "uneven-regions")
	require.Equal(t, DefaultVariant(), s.Variants[0])
	require.Equal(t, withPolicy("list of one", func(p *balance.Policy) { p.PreferenceList = 1 }), s.Variants[4])
}

func TestResultsArePrintedSideBySide(t *testing.T) {
	s := loadScenario(t, "uneven-regions")
	s.Length = duration(2 * time.Second)
	var b bytes.Buffer
	require.NoError(t, Print(&b, []*Result{Run(s, s.Variants[0], 1), Run(s, s.Variants[4], 1)}))
	require.Contains(t, b.String(), "list of one")
	require.Contains(t, b.String(), "credit of each variant")
}

// Guards against too long retry delays for refusals by upstreams with free capacity.
// While every upstream of a service refused half of its requests at random, clients
// were asked to retry after 350 to 750 ms, the delay for full upstreams. On one day with
// such a fault, the refusals of its nine seconds were a third of all losses, and nearly
// all retries were served too late.
func TestClientsRefusedWithFreeCapacityReturnInTime(t *testing.T) {
	t.Parallel()
	s := loadScenario(t, "uneven-regions")
	s.Faults = []Fault{{Kind: Shed, At: duration(3 * time.Second), For: duration(8 * time.Second), Service: "profiles", Fraction: 1, Factor: 0.5}}
	asIfFull := DefaultVariant()
	asIfFull.MinRetryDelay, asIfFull.RetryJitter = duration(350*time.Millisecond), duration(400*time.Millisecond)
	late := func(r *Result) float64 { return float64(r.Total.Late) / float64(r.Total.Calls) }
	current, previous := runSeeds(s, DefaultVariant()), runSeeds(s, asIfFull)
	require.Less(t, current.mean(late), 0.8*previous.mean(late))
	require.Greater(t, current.mean(credit), previous.mean(credit)+0.01)
}
