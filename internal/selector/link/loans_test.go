package link

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// longAgo is before any loan that may still run.
const longAgo = time.Hour

// TestLoansNeverAddUp plays two hosts whose messages are late or lost and
// which are paused at will: together they never have more than both parts.
func TestLoansNeverAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const part = 1_000_000.0
		type message struct {
			lender int
			rate   float64
			asked  time.Time
		}
		now := time.Now()
		hosts := []*Loans{NewLoans(now.Add(-longAgo)), NewLoans(now.Add(-longAgo))}
		names := []string{"a", "b"}
		var onTheWay []message
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			lender := rapid.IntRange(0, 1).Draw(t, "lender")
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0: // the other asks; its request may have been long on its way
				asked := now.Add(-time.Duration(rapid.IntRange(0, 3000).Draw(t, "late")) * time.Millisecond)
				used := rapid.Float64Range(0, part).Draw(t, "used")
				spare := hosts[lender].Spare(part, used, now)
				if rate := hosts[lender].Lend(names[1-lender], spare, now); rate > 0 {
					onTheWay = append(onTheWay, message{lender, rate, asked})
				}
			case 1: // a response comes, at any time, or never
				if len(onTheWay) > 0 {
					i := rapid.IntRange(0, len(onTheWay)-1).Draw(t, "response")
					m := onTheWay[i]
					hosts[1-m.lender].Borrowed(names[m.lender], m.rate, m.asked)
					onTheWay = append(onTheWay[:i], onTheWay[i+1:]...)
				}
			case 2:
				now = now.Add(time.Duration(rapid.IntRange(0, 2500).Draw(t, "passes")) * time.Millisecond)
			}
			if both := hosts[0].Rate(part, now) + hosts[1].Rate(part, now) - 2*part; both > 1e-6 {
				t.Fatalf("%v bytes per second more than both parts", both)
			}
		}
	})
}

// TestLenderKeepsAPart asks again and again, as a host does that has more to
// send: loans that grow must leave the lender what its own next lookup needs.
func TestLenderKeepsAPart(t *testing.T) {
	const part = 1_000_000.0
	now := time.Now()
	lender := NewLoans(now.Add(-longAgo))
	for range 100 {
		lender.Lend("a", lender.Spare(part, 0, now), now)
		lender.Lend("b", lender.Spare(part, 0, now), now)
		now = now.Add(250 * time.Millisecond)
	}
	if left := lender.Rate(part, now); left < part*0.15 {
		t.Fatalf("the lender has %v bytes per second left of %v", left, part)
	}
}

// Found beside the flooding of cold upstreams after a restart of all hosts: what a
// host lent is forgotten by its next process, which sent its whole part of the link
// while the borrower still used the loan. Both sent 2,640,000 bytes a second of
// 2,000,000.
func TestALenderThatRestartsLeavesTheBorrowerItsLoan(t *testing.T) {
	const part = 1_000_000.0
	now := time.Now()
	before, borrower := NewLoans(now.Add(-longAgo)), NewLoans(now.Add(-longAgo))
	borrower.Borrowed("lender", before.Lend("borrower", before.Spare(part, 0, now), now), now)
	if borrower.Rate(part, now) <= part {
		t.Fatal("nothing was lent")
	}
	after := NewLoans(now)
	for at := now; at.Before(now.Add(2 * Term)); at = at.Add(Term / 10) {
		if both := after.Rate(part, at) + borrower.Rate(part, at) - 2*part; both > 1e-6 {
			t.Fatalf("%v bytes per second more than both parts, %s after the loan", both, at.Sub(now))
		}
	}
}
