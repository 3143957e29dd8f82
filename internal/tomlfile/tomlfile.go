// Package tomlfile decodes TOML strictly and names the key of every error.
package tomlfile

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"
)

// Duration is a time.Duration written as text, such as "1.5s".
type Duration time.Duration

// UnmarshalText parses a duration in the format of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return eris.Errorf("%q is no duration", text)
	}
	*d = Duration(v)
	return nil
}

// MarshalText formats the duration as time.Duration.String does.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// KeyError is an error in a TOML document or settings file.
type KeyError struct {
	// Key is the path of the invalid value, such as rule["main"].share.
	Key string
	// Problem describes the error.
	Problem string
}

// Error implements the error interface.
func (e KeyError) Error() string { return e.Key + ": " + e.Problem }

// Decode decodes TOML into a value. It returns a KeyError for each unknown key,
// joined by errors.Join, or for the first value that cannot be decoded.
func Decode(data []byte, into any) error {
	err := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields().Decode(into)
	var missing *toml.StrictMissingError
	if errors.As(err, &missing) {
		var all []error
		for _, e := range missing.Errors {
			all = append(all, KeyError{strings.Join(e.Key(), "."), "unknown key"})
		}
		return errors.Join(all...)
	}
	var bad *toml.DecodeError
	if errors.As(err, &bad) {
		row, col := bad.Position()
		key := strings.Join(bad.Key(), ".")
		return KeyError{fmt.Sprintf("%s (line %d, column %d)", key, row, col), bad.Error()}
	}
	return err
}
