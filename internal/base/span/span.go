// Package span provides a duration that reads and writes as text in JSON.
package span

// This file defines Span.

import "time"

// Span is a duration written like "8s" or "250ms" in settings and tables.
type Span time.Duration

// Duration returns s as the standard type.
func (s Span) Duration() time.Duration { return time.Duration(s) }

// String returns the text form, such as "1.5s".
func (s Span) String() string { return time.Duration(s).String() }

// MarshalText writes the text form.
func (s Span) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads what time.ParseDuration accepts.
func (s *Span) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*s = Span(d)
	return nil
}
