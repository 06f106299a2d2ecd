package instancelist_test

// This file tests which versions of the instance list are applied.

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/peer/instancelist"
	"github.com/jacinthstile/jacinthstile/internal/platform/configclient"
	"github.com/jacinthstile/jacinthstile/internal/platform/instance"
)

// scriptedSource is a configclient.Source that returns its values one after the other,
// one a second, and then blocks until the context ends.
type scriptedSource struct {
	values []string
	next   atomic.Int64
}

func (a *scriptedSource) Read(context.Context, string) (configclient.Value, error) {
	panic("instancelist: Read called, want only Watch")
}

func (a *scriptedSource) Watch(ctx context.Context, _ string, _ uint64, _ time.Duration) (configclient.Value, bool, error) {
	n := int(a.next.Add(1))
	if n > len(a.values) {
		<-ctx.Done()
		return configclient.Value{}, false, ctx.Err()
	}
	time.Sleep(time.Second)
	return configclient.Value{Version: uint64(n), Data: []byte(a.values[n-1])}, true, nil
}

// TestLastValidListStaysInUse guards against losing all instances when the
// platform publishes an empty or malformed list after a valid one.
func TestLastValidListStaysInUse(t *testing.T) {
	const good = `{"instances":[{"name":"llm-01","state":"leaving"},{"name":"llm-02","state":"live"},{"name":"b","state":"leaving","entry":true}]}`
	for name, bad := range map[string]string{
		"empty":     `{"instances":[]}`,
		"null":      `null`,
		"malformed": `{"instances":`,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				r := instancelist.New(&scriptedSource{values: []string{good, bad}}, logr.Discard())
				calls := 0
				r.OnChange(func(*instance.List) { calls++ })
				ctx, cancel := context.WithCancel(t.Context())
				go r.Run(ctx)
				time.Sleep(time.Minute)
				synctest.Wait()
				g.Expect(r.List().Instances).To(HaveLen(3))
				g.Expect(r.LeavingEndpoints()).To(Equal(map[string]bool{"llm-01": true}))
				g.Expect(calls).To(Equal(1))
				g.Expect(r.LastResponse()).NotTo(BeZero())
				cancel()
				synctest.Wait()
			})
		})
	}
}
