package link

import "time"

const (
	// Term is how long a loan lasts, counted by the borrower from when it
	// asked.
	Term = 2 * time.Second
	// margin is how much longer the lender counts, from when it answered,
	// so that the borrower always stops first, also one that was paused.
	margin = time.Second
	// lendPart is the part of what is spare that one loan takes.
	lendPart = 0.8
	// keepPart is the part of a host's own that it never lends: a loan can't
	// be called back, and the host's next lookup must find a rate to go at.
	keepPart = 0.2
	// leastLoan is the least worth lending, in bytes per second.
	leastLoan = 1000
)

type loan struct {
	rate  float64
	until time.Time
}

// Loans are the parts of one link that hosts of a region lend each other:
// the even split wastes what some hosts do not use. The lender reduces
// itself before it answers. It is a plain state; the caller brings locks.
type Loans struct {
	lent     map[string]loan // by borrower
	borrowed map[string]loan // by lender
}

// NewLoans makes an empty state.
func NewLoans() *Loans {
	return &Loans{lent: map[string]loan{}, borrowed: map[string]loan{}}
}

// Lend gives what a host may use of this one's part, in bytes per second;
// spare is what this host does not use beyond what it has lent. A loan that
// still runs is prolonged and may grow, but never shrinks: when this host
// needs its part back, the loan is left to end.
func (l *Loans) Lend(borrower string, spare float64, now time.Time) float64 {
	old := l.lent[borrower]
	if !old.until.After(now) {
		old.rate = 0
	}
	rate := max(old.rate, old.rate+spare*lendPart)
	if spare < 0 || rate < leastLoan {
		return 0
	}
	l.lent[borrower] = loan{rate: rate, until: now.Add(Term + margin)}
	return rate
}

// Borrowed notes a loan that was asked for at a time.
func (l *Loans) Borrowed(lender string, rate float64, asked time.Time) {
	l.borrowed[lender] = loan{rate: rate, until: asked.Add(Term)}
}

// Spare is what of the host's own part may still be lent: what is neither
// lent nor used, without the part that the host keeps in any case. What it
// borrowed is not its own to lend.
func (l *Loans) Spare(part, used float64, now time.Time) float64 {
	return part - sum(l.lent, now) - max(used, keepPart*part)
}

// Balance is what loans add to the host's own part, in bytes per second.
func (l *Loans) Balance(now time.Time) float64 {
	return sum(l.borrowed, now) - sum(l.lent, now)
}

func sum(loans map[string]loan, now time.Time) float64 {
	total := 0.0
	for who, o := range loans {
		if !o.until.After(now) {
			delete(loans, who)
			continue
		}
		total += o.rate
	}
	return total
}
