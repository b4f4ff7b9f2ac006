package specifier

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Duration is a time.Duration that is written with its unit, such as "1m30s".
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Milliseconds returns d in whole milliseconds.
func (d Duration) Milliseconds() int64 { return time.Duration(d).Milliseconds() }

// String returns the textual form.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalText writes the form that UnmarshalText reads.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText reads a number with a unit: ns, us, ms, s, m or h.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Newf("%q is not a duration with a unit, such as 500ms, 2s or 1h30m", string(text))
	}
	*d = Duration(v)
	return nil
}
