package entry

import (
	"cmp"
	"time"

	"cairndock/internal/selector/servesettings"
	"cairndock/internal/settings"
)

const (
	// stopWindow is how long a planned stop may take at most, by default.
	stopWindow = 5 * time.Minute
	// stopGrace is how long a stopping host waits for requests on their way
	// before it looks whether it is idle, by default.
	stopGrace = 2 * time.Second
	// callsPerSecond is a host's rate of calls to the platform, by default.
	callsPerSecond = 5
)

// Default fills the defaults of a host's settings.
func Default(s *servesettings.Settings) {
	s.Stop.Window = cmp.Or(s.Stop.Window, settings.Duration(stopWindow))
	s.Stop.Grace = cmp.Or(s.Stop.Grace, settings.Duration(stopGrace))
	s.Platform.CallsPerSecond = cmp.Or(s.Platform.CallsPerSecond, callsPerSecond)
	s.Platform.Region = cmp.Or(s.Platform.Region, "local")
	s.Platform.Table = cmp.Or(s.Platform.Table, "cairndock")
	s.Platform.Bucket = cmp.Or(s.Platform.Bucket, "cairndock")
}

// Check notes the faults of a host's settings.
func Check(s servesettings.Settings, f *settings.Faults) {
	s.Host.Check(f)
	f.Require(s.Peers.Listen != "", "peers.listen", "must be set")
	f.Require(s.Platform.CallsPerSecond > 0, "platform.calls_per_second", "must be above 0")
	f.Require(s.Stop.Window > 0, "stop.window", "must be above 0")
	f.Require(s.Stop.Grace >= 0, "stop.grace", "must not be negative")
}
