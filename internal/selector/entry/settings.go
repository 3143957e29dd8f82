package entry

import (
	"cmp"
	"time"

	"cairndock/internal/selector/servesettings"
	"cairndock/internal/settings"
)

const (
	// defaultStopWindow is the maximum duration of a planned stop.
	defaultStopWindow = 5 * time.Minute
	// defaultStopGrace is the time for which a stopping host waits for requests
	// in transit before it checks whether it is idle.
	defaultStopGrace = 2 * time.Second
	// defaultCallsPerSecond is a host's rate of calls to the platform, per
	// second.
	defaultCallsPerSecond = 5
)

// Default fills in the defaults of a host's settings.
func Default(s *servesettings.Settings) {
	s.Stop.Window = cmp.Or(s.Stop.Window, settings.Duration(defaultStopWindow))
	s.Stop.Grace = cmp.Or(s.Stop.Grace, settings.Duration(defaultStopGrace))
	s.Platform.CallsPerSecond = cmp.Or(s.Platform.CallsPerSecond, defaultCallsPerSecond)
	s.Platform.Region = cmp.Or(s.Platform.Region, "local")
	s.Platform.Table = cmp.Or(s.Platform.Table, "cairndock")
	s.Platform.Bucket = cmp.Or(s.Platform.Bucket, "cairndock")
}

// Check adds the faults of a host's settings to f.
func Check(s servesettings.Settings, f *settings.Faults) {
	s.Host.Check(f)
	f.Require(s.Peers.Listen != "", "peers.listen", "must be set")
	f.Require(s.Platform.CallsPerSecond > 0, "platform.calls_per_second", "must be above 0")
	f.Require(s.Stop.Window > 0, "stop.window", "must be above 0")
	f.Require(s.Stop.Grace >= 0, "stop.grace", "must not be negative")
}
