// Package operatorclient is an HTTP client of the operators' API of the
// instances. It queries a set of instances concurrently.
package operatorclient

// This file defines Client.

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
	timeout       = 2 * time.Second
	maxReplyBytes = 4 << 20
)

// Options holds the addresses and credentials for the queries.
type Options struct {
	URLs  []string // base URLs of operators' listeners
	Token string   // file with the operators' token; empty to send none
	CA    string   // file with the CA certificate of the listeners (PEM); empty for the system's CAs
}

// Bind defines the command-line flags that set o.
func (o *Options) Bind(f *pflag.FlagSet) {
	f.StringSliceVar(&o.URLs, "operators", []string{"http://127.0.0.1:8082"}, "base URLs of operators' listeners, with commas")
	f.StringVar(&o.Token, "token", "", "file with the operators' token")
	f.StringVar(&o.CA, "ca", "", "file with the authority of the listeners' certificates (PEM)")
}

// InstanceStatus is the status of one instance, or the error of its query. The
// status command prints it as JSON.
type InstanceStatus struct {
	URL    string          `json:"url"`
	Status operator.Status `json:"status"`
	Error  string          `json:"error,omitempty"`
}

// Client queries a set of instances.
type Client struct {
	urls  []string
	token string
	http  *http.Client
}

// New returns a client. It reads the token file and the CA file.
func New(o Options) (*Client, error) {
	if len(o.URLs) == 0 {
		return nil, fmt.Errorf("asking for status: got no operators' URL, want one or more")
	}
	c := &Client{urls: o.URLs, http: &http.Client{Timeout: timeout}}
	if o.Token != "" {
		data, err := os.ReadFile(o.Token)
		if err != nil {
			return nil, fmt.Errorf("reading operators' token: %w", err)
		}
		c.token = strings.TrimSpace(string(data))
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
		c.http.Transport = &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS13}}
	}
	return c, nil
}

// InstanceEndpoints is the endpoint report of one instance, or the error of its query.
type InstanceEndpoints struct {
	URL       string
	Endpoints operator.EndpointReport
	Error     string
}

// Endpoints queries the endpoint reports of all instances. The result has one element
// for each URL, in their order.
func (c *Client) Endpoints(ctx context.Context) []InstanceEndpoints {
	results := make([]InstanceEndpoints, len(c.urls))
	var wg sync.WaitGroup
	for i, url := range c.urls {
		wg.Go(func() {
			results[i].URL = url
			if err := c.get(ctx, url+"/v1/endpoints", &results[i].Endpoints); err != nil {
				results[i].Error = err.Error()
			}
		})
	}
	wg.Wait()
	return results
}

// Status queries the status of all instances. The result has one element for each
// URL, in their order.
func (c *Client) Status(ctx context.Context) []InstanceStatus {
	results := make([]InstanceStatus, len(c.urls))
	var wg sync.WaitGroup
	for i, url := range c.urls {
		wg.Go(func() {
			results[i].URL = url
			if err := c.get(ctx, url+"/v1/status", &results[i].Status); err != nil {
				results[i].Error = err.Error()
			}
		})
	}
	wg.Wait()
	return results
}

func (c *Client) get(ctx context.Context, url string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("got status %d, want 200", resp.StatusCode)
	}
	return json.NewDecoder(io.LimitReader(resp.Body, maxReplyBytes)).Decode(into)
}
