package rgmodel

import (
	"time"

	"github.com/juju/errors"
)

// Duration is a time.Duration whose text form is a string such as "250ms".
type Duration struct {
	time.Duration
}

// MarshalText returns the duration in the format of time.ParseDuration.
func (dur Duration) MarshalText() ([]byte, error) {
	return []byte(dur.String()), nil
}

// UnmarshalText parses the format of time.ParseDuration and rejects negative values.
func (dur *Duration) UnmarshalText(txt []byte) error {
	val, err := time.ParseDuration(string(txt))
	if err != nil {
		return errors.NotValidf("duration %q", txt)
	}
	if val < 0 {
		return errors.NotValidf("negative duration %q", txt)
	}
	dur.Duration = val
	return nil
}
