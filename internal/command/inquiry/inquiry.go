// Package inquiry asks instances for their status over the operators' interface.
package inquiry

// This file defines Inquiry.

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/spf13/pflag"

	"github.com/jacinthstile/jacinthstile/internal/entry/operator"
)

const (
	timeout   = 2 * time.Second
	mostReply = 4 << 20 // bytes
)

// Options says whom to ask, and how.
type Options struct {
	URLs  []string // base URLs of operators' listeners
	Token string   // file with the operators' token, or empty
	CA    string   // file with the authority of the listeners' certificates, or empty
}

// Bind adds the flags for o to a command.
func (o *Options) Bind(f *pflag.FlagSet) {
	f.StringSliceVar(&o.URLs, "operators", []string{"http://127.0.0.1:8082"}, "base URLs of operators' listeners, with commas")
	f.StringVar(&o.Token, "token", "", "file with the operators' token")
	f.StringVar(&o.CA, "ca", "", "file with the authority of the listeners' certificates (PEM)")
}

// Answer is what one instance said, or why it said nothing.
type Answer struct {
	URL    string          `json:"url"`
	Status operator.Status `json:"status"`
	Error  string          `json:"error,omitempty"`
}

// Inquiry asks a set of instances.
type Inquiry struct {
	urls  []string
	token string
	http  *http.Client
}

// New reads the files that the options name.
func New(o Options) (*Inquiry, error) {
	if len(o.URLs) == 0 {
		return nil, fmt.Errorf("asking for status: got no operators' URL, want one or more")
	}
	q := &Inquiry{urls: o.URLs, http: &http.Client{Timeout: timeout}}
	if o.Token != "" {
		data, err := os.ReadFile(o.Token)
		if err != nil {
			return nil, fmt.Errorf("reading operators' token: %w", err)
		}
		q.token = strings.TrimSpace(string(data))
	}
	if o.CA != "" {
		data, err := os.ReadFile(o.CA)
		if err != nil {
			return nil, fmt.Errorf("reading authority: %w", err)
		}
		roots := x509.NewCertPool()
		if !roots.AppendCertsFromPEM(data) {
			return nil, fmt.Errorf("reading authority %s: got no certificate, want one or more", o.CA)
		}
		q.http.Transport = &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS13}}
	}
	return q, nil
}

// Usage is what one instance said of its endpoints, or why it said nothing.
type Usage struct {
	URL       string
	Endpoints operator.EndpointReport
	Error     string
}

// Usage returns how each instance uses its endpoints, in the order of the URLs.
func (q *Inquiry) Usage(ctx context.Context) []Usage {
	answers := make([]Usage, len(q.urls))
	var wg sync.WaitGroup
	for i, url := range q.urls {
		wg.Go(func() {
			answers[i].URL = url
			if err := q.get(ctx, url+"/v1/endpoints", &answers[i].Endpoints); err != nil {
				answers[i].Error = err.Error()
			}
		})
	}
	wg.Wait()
	return answers
}

// Ask returns the answers in the order of the URLs.
func (q *Inquiry) Ask(ctx context.Context) []Answer {
	answers := make([]Answer, len(q.urls))
	var wg sync.WaitGroup
	for i, url := range q.urls {
		wg.Go(func() {
			answers[i].URL = url
			if err := q.get(ctx, url+"/v1/status", &answers[i].Status); err != nil {
				answers[i].Error = err.Error()
			}
		})
	}
	wg.Wait()
	return answers
}

func (q *Inquiry) get(ctx context.Context, url string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	if q.token != "" {
		req.Header.Set("Authorization", "Bearer "+q.token)
	}
	resp, err := q.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("got status %d, want 200", resp.StatusCode)
	}
	return json.NewDecoder(io.LimitReader(resp.Body, mostReply)).Decode(into)
}
