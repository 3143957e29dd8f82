package link

import "time"

const (
	// Term is the duration of a loan. For the borrower it starts when the
	// borrower sends the request.
	Term = 2 * time.Second
	// lenderMargin is added to Term by the lender, for which the loan starts
	// when it is granted. It makes the borrower stop first, also if the
	// borrower was paused. With 1 s in total at the lender, TestLoansNeverAddUp
	// failed.
	lenderMargin = time.Second
	// lendFraction is the fraction of the spare rate that one loan may use.
	lendFraction = 0.8
	// keepFraction is the fraction of its own share that a host never lends,
	// because a loan can't be revoked and the host's next lookup needs some
	// rate immediately. With bundles on the same link, 232 of 800 lookups were
	// refused without keepFraction and none with it. The link utilization was
	// 97% without keepFraction and 86% with it.
	keepFraction = 0.2
	// minLoanRate is the minimum rate of a loan, in bytes per second.
	minLoanRate = 1000
)

// loan is a rate that is lent until a time.
type loan struct {
	rate  float64 // bytes per second
	until time.Time
}

// Loans tracks the rates of one link that a host has lent to and borrowed from
// other hosts of its region. Loans make use of the rate that an even split
// leaves unused. The lender must lower its own rate to Rate before it responds,
// or else the sum of all rates could exceed the limit of the link. Loans is not
// safe for concurrent use; times are passed in by the calling code.
type Loans struct {
	// started is when the host's process started.
	started  time.Time
	lent     map[string]loan // by borrower
	borrowed map[string]loan // by lender
}

// NewLoans returns empty loans for a host whose process started at the given
// time.
func NewLoans(started time.Time) *Loans {
	return &Loans{started: started, lent: map[string]loan{}, borrowed: map[string]loan{}}
}

// Lend grants a loan and returns its rate in bytes per second, or 0 if no loan
// is granted. spare is the rate that this host may lend in addition to its
// current loans. A current loan to the same borrower is extended and may grow,
// but never shrinks, because the borrower may be using it. A host that needs its
// rate back grants no more loans and lets the current ones expire.
func (l *Loans) Lend(borrower string, spare float64, now time.Time) float64 {
	old := l.lent[borrower]
	if !old.until.After(now) {
		old.rate = 0
	}
	rate := old.rate + spare*lendFraction
	if spare < 0 || rate < minLoanRate {
		return 0
	}
	l.lent[borrower] = loan{rate: rate, until: now.Add(Term + lenderMargin)}
	return rate
}

// Borrowed records a loan with the rate that the lender granted, in bytes per
// second, and the time at which this host requested it.
func (l *Loans) Borrowed(lender string, rate float64, requestedAt time.Time) {
	l.borrowed[lender] = loan{rate: rate, until: requestedAt.Add(Term)}
}

// Spare returns the rate in bytes per second that the host may still lend: its
// own share minus current loans and the larger of the used rate and the fraction
// that is never lent. Borrowed rate can't be lent. A negative result means that
// nothing may be lent.
func (l *Loans) Spare(share, used float64, now time.Time) float64 {
	return l.own(share, now) - sum(l.lent, now) - max(used, keepFraction*share)
}

// Rate returns the rate in bytes per second at which the host may send, if share
// is its even share of the link.
func (l *Loans) Rate(share float64, now time.Time) float64 {
	return l.own(share, now) + sum(l.borrowed, now) - sum(l.lent, now)
}

// own returns the rate of the host's share that an earlier process of the host
// can't have lent. While a loan of an earlier process may be valid, this is only
// the fraction that hosts never lend. With the whole share, a restarted lender
// and its borrower sent 1.32 times their combined limit.
func (l *Loans) own(share float64, now time.Time) float64 {
	if now.Sub(l.started) < Term+lenderMargin {
		return keepFraction * share
	}
	return share
}

// sum returns the total rate of the valid loans and removes expired loans.
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
