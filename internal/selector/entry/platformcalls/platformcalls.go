// Package platformcalls holds a host's calls to the platform's table and host
// list within the rate that the platform grants it.
//
// It owns the rate limiter of the host.
package platformcalls

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"

	"cairndock/internal/selector/store"
	"cairndock/internal/telemetry"
)

const (
	// burst is how many calls a host may make at once.
	burst = 10
	// timeout bounds one call, its wait for the rate included.
	timeout = 2 * time.Second
	// retryMin is the first pause after a failed call.
	retryMin = 250 * time.Millisecond
	// retryMax is the longest pause after failed calls.
	retryMax = 5 * time.Second
)

// Caller makes a host's calls to the platform.
type Caller struct {
	limiter  *rate.Limiter
	metrics  *telemetry.Metrics
	answered func()
}

// New makes a Caller. It runs answered after each call that was answered.
func New(callsPerSecond float64, metrics *telemetry.Metrics, answered func()) *Caller {
	return &Caller{limiter: rate.NewLimiter(rate.Limit(callsPerSecond), burst), metrics: metrics, answered: answered}
}

// Do makes one call, within the host's rate and the time for one call. That
// there is no such row, or that it has changed, is an answer of the platform.
func (c *Caller) Do(ctx context.Context, f func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := c.Wait(ctx); err != nil {
		return err
	}
	c.metrics.Count("cairndock_platform_calls_total")
	err := f(ctx)
	if err != nil && !errors.Is(err, store.ErrNotFound) && !errors.Is(err, store.ErrConflict) {
		c.metrics.Count("cairndock_platform_failures_total")
		return err
	}
	c.answered()
	return err
}

// Get makes one call, as Do does, and gives what it reads.
func Get[T any](ctx context.Context, c *Caller, f func(ctx context.Context) (T, error)) (out T, err error) {
	err = c.Do(ctx, func(ctx context.Context) (err error) {
		out, err = f(ctx)
		return err
	})
	return out, err
}

// Wait waits until the host's rate allows one more call.
func (c *Caller) Wait(ctx context.Context) error {
	return eris.Wrap(c.limiter.Wait(ctx), "wait for the platform's rate")
}

// NewBackoff gives the pauses between calls that fail one after another.
func NewBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = retryMin
	b.MaxInterval = retryMax
	return b
}
