package entry

import (
	"time"

	"cairndock/internal/settings"
)

// Prepare fills the defaults of a host's settings.
func Prepare(s *settings.Settings) {
	s.Stop.Window = settings.Default(s.Stop.Window, settings.Seconds(5*time.Minute))
	s.Stop.Grace = settings.Default(s.Stop.Grace, settings.Seconds(2*time.Second))
	s.Platform.CallsPerSecond = settings.Default(s.Platform.CallsPerSecond, 5)
	s.Platform.Region = settings.Default(s.Platform.Region, "local")
	s.Platform.Table = settings.Default(s.Platform.Table, "cairndock")
	s.Platform.Bucket = settings.Default(s.Platform.Bucket, "cairndock")
}

// Check notes the faults of a host's settings.
func Check(s settings.Settings, f *settings.Faults) {
	f.Require(s.Host.Name != "", "host.name", "must be set")
	f.Require(s.Host.Zone != "", "host.zone", "must be set")
	f.Require(s.Host.Region != "", "host.region", "must be set")
	f.Require(s.Peers.Listen != "", "peers.listen", "must be set")
	f.Require(s.Platform.CallsPerSecond > 0, "platform.calls_per_second", "must be above 0")
	f.Require(s.Stop.Window > 0, "stop.window", "must be above 0")
	f.Require(s.Stop.Grace >= 0, "stop.grace", "must not be negative")
}
