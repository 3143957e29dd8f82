// Package platformcalls limits the rate of a host's calls to the platform's table
// and host list.
//
// The package owns the rate limiter of the host.
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
	// burst is the number of calls that a host may make at once.
	burst = 10
	// timeout limits the time for one call, including the wait for the rate
	// limiter.
	timeout = 2 * time.Second
	// initialBackoff is the backoff after the first failed call.
	initialBackoff = 250 * time.Millisecond
	// maxBackoff is the longest backoff between failed calls.
	maxBackoff = 5 * time.Second
)

// Caller makes a host's calls to the platform. It is safe for concurrent use.
type Caller struct {
	limiter   *rate.Limiter
	metrics   *telemetry.Metrics
	responded func()
}

// New returns a Caller that makes at most callsPerSecond calls per second after a
// burst. It calls responded after each call that the platform responded to.
func New(callsPerSecond float64, metrics *telemetry.Metrics, responded func()) *Caller {
	return &Caller{limiter: rate.NewLimiter(rate.Limit(callsPerSecond), burst), metrics: metrics, responded: responded}
}

// Do makes one call within the host's rate and the timeout. The errors
// store.ErrNotFound and store.ErrConflict are responses of the platform and do
// not count as failures.
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
	c.responded()
	return err
}

// Get makes one call, as Do does, and returns the value that f reads.
func Get[T any](ctx context.Context, c *Caller, f func(ctx context.Context) (T, error)) (out T, err error) {
	err = c.Do(ctx, func(ctx context.Context) (err error) {
		out, err = f(ctx)
		return err
	})
	return out, err
}

// Wait waits until the host's rate allows one more call.
func (c *Caller) Wait(ctx context.Context) error {
	return eris.Wrap(c.limiter.Wait(ctx), "wait for the rate limit of platform calls")
}

// NewBackoff returns the exponential backoff for consecutive failed calls.
func NewBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = initialBackoff
	b.MaxInterval = maxBackoff
	return b
}
