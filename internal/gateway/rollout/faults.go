package rollout

// faults is a number of requests and of the faulty ones among them.
type faults struct{ all, faulty float64 }

func (o Outcomes) failures() faults { return faults{float64(o.Ended), float64(o.Failed)} }
func (o Outcomes) slowness() faults { return faults{float64(o.Compared), float64(o.Slow)} }

func (g GroupOutcomes) failures() faults { return faults{float64(g.Ended), float64(g.Failed)} }
func (g GroupOutcomes) slowness() faults { return faults{float64(g.Compared), float64(g.Slow)} }

func (f faults) plus(other faults) faults { return faults{f.all + other.all, f.faulty + other.faulty} }

func (f faults) decayed(factor float64) faults { return faults{factor * f.all, factor * f.faulty} }

// since returns by how much both counts have grown.
func (f faults) since(before faults) faults {
	return faults{max(0, f.all-before.all), max(0, f.faulty-before.faulty)}
}

// rateOf returns the rate of faults of several counts.
func rateOf(counts []faults) float64 {
	var sum faults
	for _, c := range counts {
		sum = sum.plus(c)
	}
	return sum.faulty / max(1, sum.all)
}
