package rgmodel

import (
	"time"

	"github.com/juju/errors"
)

// Duration is a time.Duration that reads and writes texts such as "250ms".
type Duration struct {
	time.Duration
}

// MarshalText writes the form that time.ParseDuration reads.
func (dur Duration) MarshalText() ([]byte, error) {
	return []byte(dur.String()), nil
}

// UnmarshalText reads the form that time.ParseDuration reads and refuses negative values.
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
