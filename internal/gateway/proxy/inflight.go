package proxy

import (
	"context"
	"sync"
	"time"

	"cairndock/internal/gateway/account"
	"cairndock/internal/gateway/exchange"
	"cairndock/internal/gateway/retry"
	"cairndock/internal/gateway/route"
	"cairndock/internal/gateway/upstream"
	"cairndock/internal/poison"
	"cairndock/internal/verdict"
)

// inflight is one client's request on its way through its attempts. Only the
// goroutine that serves the request changes it.
type inflight struct {
	proxy *Proxy
	info  RequestInfo
	began time.Time
	// suspendedBefore is for how long the machine had been suspended when the request
	// came.
	suspendedBefore time.Duration
	// client ends when the client leaves.
	client context.Context

	// Set by prepare, as far as it got.
	config *route.Table
	route  *route.Route
	// account is the client account; nil if there is none.
	account *account.Account
	service string
	request *exchange.Request
	// address is the client's IP address.
	address string
	// digest is the request's fingerprint once digestOnce has made it, for which the
	// goroutines of the attempts ask too.
	digest     poison.Fingerprint
	digestOnce sync.Once

	// tried has the ids of the upstreams that are not chosen for it again.
	tried []string
	// started is how many attempts were begun, and attempts how many of them are looked
	// at by the rules of package retry.
	started, attempts int
	// refused are the upstreams that refused the connection, and unanswered those that could
	// not be connected to in time.
	refused, unanswered []*upstream.Upstream
	// mayHaveRun is the last error after which the request may have run, or nil.
	mayHaveRun *verdict.Error
	// retryDenied is what was used of the retry budget when it last denied another attempt,
	// or nil.
	retryDenied *retry.Usage
}

// run sends the request until it has a response to forward or is given up.
func (f *inflight) run(ctx context.Context) (*response, error) {
	f.proxy.SuspendWatch.Check()
	f.proxy.Budget.RecordRequest(f.service, f.began)
	if f.quarantined() {
		return nil, errQuarantined()
	}
	choice, err := f.choose()
	if err != nil {
		return nil, f.finalVerdict(err)
	}
	s := f.newAttempts(ctx)
	defer s.abandon()
	s.start(choice)
	for {
		select {
		case a := <-s.overdue:
			s.hedge(a)
		case end := <-s.ends:
			if resp, done, err := s.take(end); done {
				return resp, err
			}
		case <-s.redialAt:
			if err := s.redial(); err != nil && len(s.running) == 0 {
				return nil, f.finalVerdict(err)
			}
		}
	}
}

// finalVerdict is the verdict on a request that was given up after an error.
func (f *inflight) finalVerdict(err error) error {
	hostAborted := f.client.Err() == nil && f.proxy.aborted.Err() != nil
	return finalVerdict(verdict.From(err), f.mayHaveRun, hostAborted)
}
