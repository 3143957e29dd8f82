package rollout

import "cmp"

// Keys differ in how often they are requested, so that a fraction of the keys gets a different
// fraction of the requests. Evidence therefore counts the first attempts by the position of
// their key, which is the same on all hosts.
const (
	// positionBuckets is the number of parts of the counted positions, which bounds the
	// size of evidence.
	positionBuckets = 64
	// countedPositions is the end of the counted positions. Only a larger fraction of the
	// keys includes positions beyond it, which count together.
	countedPositions = 0.5
)

// Positions counts first attempts by the position of their key. Its last entry stands for all
// positions that are not counted apart.
type Positions map[int]int

// positionBucket returns the bucket of a position.
func positionBucket(position float64) int {
	return max(0, min(int(position/countedPositions*positionBuckets), positionBuckets))
}

// plus returns the sum of two counts. A bucket outside the range, as another version may
// send, counts as the nearest one, and a negative count as none.
func (p Positions) plus(other Positions) Positions {
	sum := make(Positions, max(len(p), len(other)))
	for _, counts := range []Positions{p, other} {
		for bucket, n := range counts {
			sum[max(0, min(bucket, positionBuckets))] += max(0, n)
		}
	}
	return sum
}

// total returns the number of all attempts.
func (p Positions) total() int {
	total := 0
	for _, n := range p {
		total += n
	}
	return total
}

// fractionFor returns the fraction of the keys whose requests are the wanted fraction of all,
// at most countedPositions.
func (p Positions) fractionFor(wanted float64) float64 {
	left := wanted * float64(p.total())
	for bucket := range positionBuckets {
		n := float64(p[bucket])
		if n > left {
			return (float64(bucket) + left/n) * countedPositions / positionBuckets
		}
		left -= n
	}
	return countedPositions
}

// requestsOf returns the fraction of the requests whose keys are in a fraction of the keys.
func (p Positions) requestsOf(fraction float64) float64 {
	sum := 0.0
	for bucket := range positionBuckets {
		part := fraction/countedPositions*positionBuckets - float64(bucket)
		sum += float64(p[bucket]) * max(0, min(part, 1))
	}
	return sum / float64(cmp.Or(p.total(), 1))
}
