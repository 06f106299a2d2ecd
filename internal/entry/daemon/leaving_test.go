package daemon_test

// This file tests that endpoints of leaving instances get no new work.

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/examples"
	"github.com/jacinthstile/jacinthstile/internal/bench/fleet"
	"github.com/jacinthstile/jacinthstile/internal/platform/instance"
	"github.com/jacinthstile/jacinthstile/internal/table/endpoint"
	"github.com/jacinthstile/jacinthstile/internal/table/fleettable"
)

// leavingDelay is the maximum time until a leaving endpoint gets no new work.
const leavingDelay = 3 * time.Second

// TestLeavingInstanceGetsNoNewWork lists all engines as leaving except one that
// got no requests before. It fails if an engine listed as leaving still gets a
// request after leavingDelay, or if requests do not move to the remaining engine.
func TestLeavingInstanceGetsNoNewWork(t *testing.T) {
	g := NewWithT(t)
	data, err := examples.Files.ReadFile("slamka/table.json")
	g.Expect(err).NotTo(HaveOccurred())
	table, err := fleettable.Parse(data)
	g.Expect(err).NotTo(HaveOccurred())
	f, stop, err := fleet.New(t.Context(), table, fleet.Options{Daemons: 1}, logr.Discard())
	g.Expect(err).NotTo(HaveOccurred())
	defer stop()

	before := used(g, f)
	live := ""
	var list instance.List
	for _, e := range f.Table.Endpoints {
		if e.Kind != endpoint.Engine {
			continue
		}
		i := instance.Instance{Name: e.Name, Address: e.Address, State: instance.Leaving}
		if live == "" && !before[e.Name] {
			live, i.State = e.Name, instance.Live
		}
		list.Instances = append(list.Instances, i)
	}
	g.Expect(live).NotTo(BeEmpty())

	data, err = json.Marshal(list)
	g.Expect(err).NotTo(HaveOccurred())
	f.Platform.Put(instance.Key, data)
	time.Sleep(leavingDelay)
	g.Expect(used(g, f)).To(Equal(map[string]bool{live: true}))
}

const calls = 4 // concurrent requests

// used sends concurrent requests and returns the engines that were called for them.
func used(g Gomega, f *fleet.Fleet) map[string]bool {
	before := len(f.Ledger.Entries())
	done := make(chan int, calls)
	for range calls {
		go func() { done <- sendRequest(f) }()
	}
	for range calls {
		g.Expect(<-done).To(Equal(http.StatusOK))
	}
	out := make(map[string]bool)
	for _, e := range f.Ledger.Entries()[before:] {
		if f.Table.Endpoint(e.Endpoint).Kind == endpoint.Engine {
			out[e.Endpoint] = true
		}
	}
	return out
}

// sendRequest sends a request to the first pipeline and returns the HTTP status, or 0 if
// there was no response.
func sendRequest(f *fleet.Fleet) int {
	url := "http://" + f.Members()[0].CallerAddress() + "/v1/pipelines/" + f.Table.Pipelines[0].Name
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(`{"input":"a question"}`))
	if err != nil {
		return 0
	}
	req.Header.Set("Authorization", "Bearer key-"+f.Table.Accounts[0].Name)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}
