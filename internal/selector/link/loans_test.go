package link

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// processAge is the age of a process whose predecessor's loans have all expired.
const processAge = time.Hour

// TestLoansNeverAddUp simulates two hosts with delayed and lost messages and
// pauses at any time. Their rates must never exceed the sum of their shares.
func TestLoansNeverAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const share = 1_000_000.0
		type message struct {
			lender      int
			rate        float64
			requestedAt time.Time
		}
		now := time.Now()
		hosts := []*Loans{NewLoans(now.Add(-processAge)), NewLoans(now.Add(-processAge))}
		names := []string{"a", "b"}
		var inTransit []message
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			lender := rapid.IntRange(0, 1).Draw(t, "lender")
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0: // the other host requests a loan; the request may be delayed
				requestedAt := now.Add(-time.Duration(rapid.IntRange(0, 3000).Draw(t, "late")) * time.Millisecond)
				used := rapid.Float64Range(0, share).Draw(t, "used")
				spare := hosts[lender].Spare(share, used, now)
				if rate := hosts[lender].Lend(names[1-lender], spare, now); rate > 0 {
					inTransit = append(inTransit, message{lender, rate, requestedAt})
				}
			case 1: // a response arrives, at any time or never
				if len(inTransit) > 0 {
					i := rapid.IntRange(0, len(inTransit)-1).Draw(t, "response")
					m := inTransit[i]
					hosts[1-m.lender].Borrowed(names[m.lender], m.rate, m.requestedAt)
					inTransit = append(inTransit[:i], inTransit[i+1:]...)
				}
			case 2:
				now = now.Add(time.Duration(rapid.IntRange(0, 2500).Draw(t, "passes")) * time.Millisecond)
			}
			if excess := hosts[0].Rate(share, now) + hosts[1].Rate(share, now) - 2*share; excess > 1e-6 {
				t.Fatalf("%v bytes per second more than both shares", excess)
			}
		}
	})
}

// TestLenderKeepsAPart requests loans repeatedly, as a host with more traffic
// does. Growing loans must leave the lender the rate that its own next lookup
// needs.
func TestLenderKeepsAPart(t *testing.T) {
	const share = 1_000_000.0
	now := time.Now()
	lender := NewLoans(now.Add(-processAge))
	for range 100 {
		lender.Lend("a", lender.Spare(share, 0, now), now)
		lender.Lend("b", lender.Spare(share, 0, now), now)
		now = now.Add(250 * time.Millisecond)
	}
	if left := lender.Rate(share, now); left < share*0.15 {
		t.Fatalf("the lender keeps only %v of %v bytes per second", left, share)
	}
}

// A restarted host has no record of the loans that its earlier process granted.
// If it uses its whole share while a borrower still uses a loan, the two exceed
// their combined limit: 2,640,000 instead of 2,000,000 bytes per second were
// sent.
func TestALenderThatRestartsLeavesTheBorrowerItsLoan(t *testing.T) {
	const share = 1_000_000.0
	now := time.Now()
	before, borrower := NewLoans(now.Add(-processAge)), NewLoans(now.Add(-processAge))
	borrower.Borrowed("lender", before.Lend("borrower", before.Spare(share, 0, now), now), now)
	if borrower.Rate(share, now) <= share {
		t.Fatal("nothing was lent")
	}
	after := NewLoans(now)
	for at := now; at.Before(now.Add(2 * Term)); at = at.Add(Term / 10) {
		if excess := after.Rate(share, at) + borrower.Rate(share, at) - 2*share; excess > 1e-6 {
			t.Fatalf("%v bytes per second more than both shares, %s after the loan", excess, at.Sub(now))
		}
	}
}
