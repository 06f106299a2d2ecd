// Package span provides a duration that is encoded as text in JSON.
package span

// This file defines Span.

import "time"

// Span is a duration that settings and tables contain as text such as "8s" or
// "250ms". Error texts that operators get can name this type.
type Span time.Duration

// Duration returns s as a time.Duration.
func (s Span) Duration() time.Duration { return time.Duration(s) }

// String returns the text form, such as "1.5s".
func (s Span) String() string { return time.Duration(s).String() }

// MarshalText returns the text form.
func (s Span) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText parses the format of time.ParseDuration.
func (s *Span) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*s = Span(d)
	return nil
}
