package proxy

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"cairndock/internal/gateway/account"
	"cairndock/internal/gateway/exchange"
	"cairndock/internal/gateway/retry"
	"cairndock/internal/gateway/route"
	"cairndock/internal/gateway/upstream"
	"cairndock/internal/poison"
	"cairndock/internal/requestbody"
	"cairndock/internal/verdict"
)

// inflight is one client request with the state of its attempts. Only the goroutine that
// serves the request changes it.
type inflight struct {
	proxy *Proxy
	info  RequestInfo
	began time.Time
	// suspendedAtStart is the total time that the machine had been suspended when the
	// request arrived.
	suspendedAtStart time.Duration
	// clientCtx is canceled when the client disconnects.
	clientCtx context.Context

	// body is the body in memory; nil if the request has none.
	body *requestbody.Body

	// The following fields are set by prepare, which may fail before all of them are set.
	config *route.Table
	route  *route.Route
	// account is the client account; nil if there is none.
	account *account.Account
	service string
	request *exchange.Request
	// address is the client's IP address.
	address string
	// digest is the fingerprint of the request. It is computed under digestOnce, because
	// the goroutines of the attempts need it too.
	digest     poison.Fingerprint
	digestOnce sync.Once

	// indirect is set if another host sent the request, and counted if a host has counted
	// it for the retry budget.
	indirect, counted bool

	// tried has the IDs of the upstreams that are not chosen again for this request.
	tried []string
	// startedAttempts is the number of attempts that were started. countedAttempts is the
	// number that the rules of package retry take into account.
	startedAttempts, countedAttempts int
	// refused are the upstreams that refused the connection. unanswered are those to
	// which no connection could be made in time.
	refused, unanswered []*upstream.Upstream
	// mayHaveRun is the last error after which the request may have run, or nil.
	mayHaveRun *verdict.Error
	// endedForIndirect is set if the attempts ended so that the request can be sent through
	// another host.
	endedForIndirect bool
	// indirectGrant is the retry of the budget that the request uses to go through another
	// host; nil if it uses none.
	indirectGrant *retry.Grant
	// retryDenied is the usage of the retry budget when it last denied another attempt,
	// or nil.
	retryDenied *retry.Usage
}

// run sends the request until there is a response to forward or the request has failed. While
// this host reaches no upstream, the request goes through another host.
func (f *inflight) run(ctx context.Context) (*response, error) {
	f.proxy.SuspendWatch.Check()
	if f.quarantined() {
		f.recordRequest()
		return nil, errQuarantined()
	}
	if f.goesIndirect() {
		resp, err := f.sendIndirect(ctx)
		if !eris.Is(err, errNoPeer) {
			return resp, err
		}
	}
	f.recordRequest()
	resp, err := f.runAttempts(ctx)
	if err == nil || !f.endedForIndirect {
		return resp, err
	}
	resp, indirectErr := f.sendIndirect(ctx)
	if eris.Is(indirectErr, errNoPeer) || eris.Is(indirectErr, errNoBudget) {
		return nil, err
	}
	return resp, indirectErr
}

// runAttempts sends the request to upstreams until there is a response to forward or the
// request has failed. It also ends when the host loses its path to the upstreams and the
// request may go through another host.
func (f *inflight) runAttempts(ctx context.Context) (*response, error) {
	choice, err := f.choose()
	if err != nil {
		return nil, f.finalVerdict(err)
	}
	s := f.newAttempts(ctx)
	defer s.abandon()
	s.start(nextAttempt{choice: choice})
	isolated := f.proxy.Reach.IsolationBegan()
	for {
		select {
		case <-isolated:
			if s.endForIndirect() {
				return nil, f.finalVerdict(errIsolated())
			}
			isolated = nil
		case a := <-s.overdue:
			s.hedge(a)
		case result := <-s.results:
			if resp, done, err := s.handleResult(result); done {
				return resp, err
			}
		case <-s.redialTimer:
			if err := s.redial(); err != nil && len(s.running) == 0 {
				return nil, f.finalVerdict(err)
			}
		}
	}
}

// recordRequest counts the request for the retry budget of its service, once over all hosts.
func (f *inflight) recordRequest() {
	if f.counted {
		return
	}
	f.counted = true
	f.proxy.Metrics.Count(`cairndock_requests_total{service="` + f.service + `"}`)
	f.proxy.Budget.RecordRequest(f.service, f.began)
}

// finalVerdict returns the final error of a request that failed with err.
func (f *inflight) finalVerdict(err error) error {
	hostAborted := f.clientCtx.Err() == nil && f.proxy.aborted.Err() != nil
	return finalVerdict(verdict.From(err), f.mayHaveRun, hostAborted)
}
