// Package responsehead checks the heads of HTTP responses. The parser of net/http takes names of header fields that hold
// blanks, such as "Content-Length ", and neither uses nor removes such a field: the body may not be what the sender meant.
package responsehead

// This file defines Check, InterimHook and Transport.

import (
	"fmt"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync/atomic"

	"golang.org/x/net/http/httpguts"
)

// maxInterim is the number of interim responses that may come before a response.
const maxInterim = 10

// Check returns an error if the name of a header field is not a token, as HTTP requires.
func Check(h http.Header) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("got a header field named %.40q, want a token", name)
		}
	}
	return nil
}

// InterimHook returns the hook of an httptrace.ClientTrace that checks the interim responses to one request. It also limits
// their number, since net/http limits their bytes only without a hook.
func InterimHook() func(int, textproto.MIMEHeader) error {
	var got atomic.Int64
	return func(_ int, h textproto.MIMEHeader) error {
		if got.Add(1) > maxInterim {
			return fmt.Errorf("got more than %d interim responses", maxInterim)
		}
		return Check(http.Header(h))
	}
}

// Transport is an http.RoundTripper that fails where the head of a response, or of an interim response before it, does
// not pass Check.
type Transport struct{ Base http.RoundTripper }

var _ http.RoundTripper = Transport{}

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{Got1xxResponse: InterimHook()}
	resp, err := t.Base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := Check(resp.Header); err != nil {
		resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// CloseIdleConnections closes the idle connections of the base, if it has any.
func (t Transport) CloseIdleConnections() {
	if base, ok := t.Base.(interface{ CloseIdleConnections() }); ok {
		base.CloseIdleConnections()
	}
}
