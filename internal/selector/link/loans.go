package link

import "time"

const (
	// Term is how long a loan lasts, counted by the borrower from when it asked.
	Term = 2 * time.Second
	// margin is how much longer the lender counts, from when it granted the
	// loan, so that the borrower always stops first, also one that was paused:
	// a lender that counted 1 s in all failed TestLoansNeverAddUp (commit
	// "Lend unused parts of a link between a region's hosts").
	margin = time.Second
	// lendPart is the part of what is spare that one loan takes.
	lendPart = 0.8
	// keepPart is the part of its own that a host never lends: a loan can't be
	// ended early, and the host's next lookup needs some rate at once. Without
	// it 232 of 800 lookups were refused beside bundles, with it none; the link
	// was used to 97% and 86% (commit "Let a lender of a link keep a fifth of
	// its part").
	keepPart = 0.2
	// leastLoan is the least worth lending, in bytes per second.
	leastLoan = 1000
)

// loan is a part of a link that is lent until a time.
type loan struct {
	rate  float64 // bytes per second
	until time.Time
}

// Loans are the parts of one link that a host has lent to others of its region,
// and borrowed from them: the even split wastes what some hosts do not use. The
// lender must lower its own rate to Rate before it responds, so that all rates
// together never exceed the link. It has no lock; the caller passes in the time.
type Loans struct {
	// started is when the host's process started.
	started  time.Time
	lent     map[string]loan // by borrower
	borrowed map[string]loan // by lender
}

// NewLoans makes the loans of a host whose process started at a time, and has lent
// and borrowed nothing.
func NewLoans(started time.Time) *Loans {
	return &Loans{started: started, lent: map[string]loan{}, borrowed: map[string]loan{}}
}

// Lend grants a loan and gives its rate in bytes per second, or zero for none.
// spare is what this host may lend besides its loans so far. A loan that still
// runs is prolonged and may grow, but never shrinks, as the borrower may be using
// it; when this host needs its part back, it lends no more and lets the loan end.
func (l *Loans) Lend(borrower string, spare float64, now time.Time) float64 {
	old := l.lent[borrower]
	if !old.until.After(now) {
		old.rate = 0
	}
	rate := old.rate + spare*lendPart
	if spare < 0 || rate < leastLoan {
		return 0
	}
	l.lent[borrower] = loan{rate: rate, until: now.Add(Term + margin)}
	return rate
}

// Borrowed notes a loan by the rate that the lender gave, and when this host
// asked for it.
func (l *Loans) Borrowed(lender string, rate float64, asked time.Time) {
	l.borrowed[lender] = loan{rate: rate, until: asked.Add(Term)}
}

// Spare is what of the host's own part may still be lent: what is neither
// lent nor used, without the part that the host keeps in any case. What it
// borrowed is not its own to lend.
func (l *Loans) Spare(part, used float64, now time.Time) float64 {
	return l.own(part, now) - sum(l.lent, now) - max(used, keepPart*part)
}

// Rate is what the host may send, with an even part of the link, in bytes per second.
func (l *Loans) Rate(part float64, now time.Time) float64 {
	return l.own(part, now) + sum(l.borrowed, now) - sum(l.lent, now)
}

// own is what of the host's part is sure not to be lent: while a loan may run that an
// earlier process granted, only what no host ever lends. With all of it, a lender that
// restarted and its borrower sent 1.32 times what both may send.
func (l *Loans) own(part float64, now time.Time) float64 {
	if now.Sub(l.started) < Term+margin {
		return keepPart * part
	}
	return part
}

// sum adds up the loans that still run, and forgets the others.
func sum(loans map[string]loan, now time.Time) float64 {
	total := 0.0
	for host, l := range loans {
		if !l.until.After(now) {
			delete(loans, host)
			continue
		}
		total += l.rate
	}
	return total
}
