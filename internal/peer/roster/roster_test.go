package roster_test

// This file tests which lists are put in use.

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/peer/roster"
	"github.com/jacinthstile/jacinthstile/internal/platform/instance"
	"github.com/jacinthstile/jacinthstile/internal/platform/reader"
)

// answers gives its values one after the other, a second apart, then none.
type answers struct {
	values []string
	next   atomic.Int64
}

func (a *answers) Read(context.Context, string) (reader.Value, error) {
	panic("roster: the list is only watched")
}

func (a *answers) Watch(ctx context.Context, _ string, _ uint64, _ time.Duration) (reader.Value, bool, error) {
	n := int(a.next.Add(1))
	if n > len(a.values) {
		<-ctx.Done()
		return reader.Value{}, false, ctx.Err()
	}
	time.Sleep(time.Second)
	return reader.Value{Version: uint64(n), Data: []byte(a.values[n-1])}, true, nil
}

func TestLastGoodListStays(t *testing.T) {
	const good = `{"instances":[{"name":"llm-01","state":"leaving"},{"name":"llm-02","state":"live"},{"name":"b","state":"leaving","entry":true}]}`
	for name, bad := range map[string]string{
		"empty":     `{"instances":[]}`,
		"null":      `null`,
		"malformed": `{"instances":`,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				r := roster.New(&answers{values: []string{good, bad}}, logr.Discard())
				seen := 0
				r.Watch(func(*instance.List) { seen++ })
				ctx, cancel := context.WithCancel(t.Context())
				go r.Run(ctx)
				time.Sleep(time.Minute)
				synctest.Wait()
				g.Expect(r.List().Instances).To(HaveLen(3))
				g.Expect(r.Leaving()).To(Equal(map[string]bool{"llm-01": true}))
				g.Expect(seen).To(Equal(1))
				g.Expect(r.Heard()).NotTo(BeZero())
				cancel()
				synctest.Wait()
			})
		})
	}
}
