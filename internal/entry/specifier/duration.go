package specifier

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Duration is a time.Duration that is encoded as text with a unit, such as "1m30s".
type Duration time.Duration

// TimeDuration returns d as a time.Duration.
func (d Duration) TimeDuration() time.Duration { return time.Duration(d) }

// Milliseconds returns d in milliseconds, truncated to a whole number.
func (d Duration) Milliseconds() int64 { return time.Duration(d).Milliseconds() }

// String formats d as time.Duration does, such as "1m30s".
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalText encodes d in the format that UnmarshalText parses.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText parses numbers with units (ns, us, ms, s, m or h), such as "1h30m".
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Newf("%q is not a duration with a unit, such as 500ms, 2s or 1h30m", string(text))
	}
	*d = Duration(v)
	return nil
}
