// Package tomlfile reads TOML strictly and names the key of every fault.
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

// UnmarshalText reads a Go duration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return eris.Errorf("%q is no duration", text)
	}
	*d = Duration(v)
	return nil
}

// MarshalText writes a Go duration.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// KeyError is one fault in a document or settings file.
type KeyError struct {
	// Key is the path of the faulty value, such as rule["main"].share.
	Key string
	// Problem says what is wrong with it.
	Problem string
}

// Error implements error.
func (e KeyError) Error() string { return e.Key + ": " + e.Problem }

// Decode reads TOML and names each unknown or mistyped key.
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
