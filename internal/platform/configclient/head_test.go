package configclient_test

// This file tests answers whose heads are not valid.

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/platform/configclient"
)

// TestInvalidFieldNameIsNoValue guards against a value whose length was not known: the name of the field held a blank.
func TestInvalidFieldNameIsNoValue(t *testing.T) {
	for line, valid := range map[string]bool{"Content-Length: 5": true, "X A: 1\r\nContent-Length: 5": false, "Content-Length : 5": false, "Transfer-Encoding : chunked": false} {
		g := NewWithT(t)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			g.Expect(err).NotTo(HaveOccurred())
			defer conn.Close()
			io.WriteString(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nVersion: 2\r\n%s\r\n\r\nvalue", line))
		}))
		c, closeClient := configclient.New(server.URL)
		v, err := c.Read(t.Context(), "table")
		closeClient()
		server.Close()
		if !valid {
			g.Expect(err).To(HaveOccurred(), line)
			continue
		}
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(v.Data)).To(Equal("value"))
	}
}
