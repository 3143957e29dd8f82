package eventlog

import "cairndock/internal/gateway/rollout"

// RolloutOrdered logs that a roll-out was ordered, or that its order was withdrawn.
func (l *Log) RolloutOrdered(o rollout.Order, withdrawn bool) {
	l.stateEvent("rollout-order").Str("service", o.Service).Str("target", o.Target).Float64("for_ms", ms(o.Duration)).
		Int64("version", o.Version).Bool("withdrawn", withdrawn).Msg("roll-out: order changed")
}

// RolloutChanged logs the progress of a roll-out, with the figures that led to it, and counts
// it.
func (l *Log) RolloutChanged(r rollout.Record) {
	l.metrics.Count(`cairndock_rollout_changes_total{phase="` + string(r.Phase) + `"}`)
	l.stateEvent("rollout").Str("service", r.Service).Str("target", r.Target).Str("phase", string(r.Phase)).Float64("fraction", r.Fraction).
		Int64("version", r.Revision).Str("detail", r.Reason).Msg("roll-out: progress changed")
}

// RolloutWriteFailed logs that the progress of a roll-out could not be stored.
func (l *Log) RolloutWriteFailed(r rollout.Record, err error) {
	l.stateEvent("rollout-not-stored").Str("service", r.Service).Str("target", r.Target).Str("phase", string(r.Phase)).Err(err).Msg("roll-out: progress could not be stored")
}

// RolloutNotReported logs that this host could not pass on what it observed of roll-outs.
func (l *Log) RolloutNotReported(what string, err error) {
	l.stateEvent("rollout-not-reported").Str("detail", what).Err(err).Msg("roll-out: observations could not be passed on")
}
