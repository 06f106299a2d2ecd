package root

// This file defines the commands that run a stand-in (a fake platform, engine,
// pool worker or service worker) as a separate process.

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/jacinthstile/jacinthstile/internal/bench/fleet"
	"github.com/jacinthstile/jacinthstile/internal/platform/instance"
	"github.com/jacinthstile/jacinthstile/internal/standin/cache"
	"github.com/jacinthstile/jacinthstile/internal/standin/configserver"
	"github.com/jacinthstile/jacinthstile/internal/standin/engine"
	"github.com/jacinthstile/jacinthstile/internal/standin/faultinject"
	"github.com/jacinthstile/jacinthstile/internal/standin/ledger"
	"github.com/jacinthstile/jacinthstile/internal/standin/pool"
	"github.com/jacinthstile/jacinthstile/internal/standin/service"
	"github.com/jacinthstile/jacinthstile/internal/standin/weightstore"
	"github.com/jacinthstile/jacinthstile/internal/table/fleettable"
)

// standin holds the flags that all stand-in commands have.
type standin struct {
	name   string
	listen string
	slots  int
}

func newStandin() *cobra.Command {
	c := &cobra.Command{Use: "standin", Short: "Run a stand-in for a part of the platform"}
	c.AddCommand(newStandinPlatform(), newStandinEngine(), newStandinPool(), newStandinService())
	return c
}

func (s *standin) flags(c *cobra.Command, name string, slots int) {
	f := c.Flags()
	f.StringVar(&s.name, "name", name, "name of the endpoint")
	f.StringVar(&s.listen, "listen", "127.0.0.1:9000", "IP:PORT to listen on")
	if slots > 0 {
		f.IntVar(&s.slots, "slots", slots, "calls that run at once")
	}
}

// serve serves h until ctx ends. If l is not nil, GET /ledger returns the
// executions that l has recorded.
func (s *standin) serve(ctx context.Context, h http.Handler, l *ledger.Ledger) error {
	mux := http.NewServeMux()
	mux.Handle("/", h)
	if l != nil {
		mux.HandleFunc("GET /ledger", func(w http.ResponseWriter, _ *http.Request) {
			json.NewEncoder(w).Encode(l.Entries())
		})
	}
	server := &http.Server{Addr: s.listen, Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func newStandinPlatform() *cobra.Command {
	var s standin
	var table string
	var peers []string
	c := &cobra.Command{
		Use:   "platform",
		Short: "Run the configuration service with a table and an instance list",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			srv := configserver.New()
			if err := putTable(srv, table); err != nil {
				return err
			}
			if err := putInstances(srv, peers); err != nil {
				return err
			}
			return s.serve(c.Context(), srv, nil)
		},
	}
	s.flags(c, "platform", 0)
	c.Flags().StringVar(&table, "table", "", "table file (JSON) to publish")
	c.Flags().StringSliceVar(&peers, "peer", nil, "NAME=IP:PORT of a daemon's peer listener; may be repeated")
	return c
}

func putTable(srv *configserver.Server, path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("reading table: %w", err)
	}
	t, err := fleettable.Parse(data)
	if err != nil {
		return err
	}
	return srv.Publish(t)
}

func putInstances(srv *configserver.Server, peers []string) error {
	var list instance.List
	for _, peer := range peers {
		name, address, ok := strings.Cut(peer, "=")
		if !ok {
			return fmt.Errorf("reading --peer: got %q, want NAME=IP:PORT", peer)
		}
		list.Instances = append(list.Instances, instance.Instance{
			Name: name, Address: address, State: instance.Live, Entry: true,
		})
	}
	data, err := json.Marshal(list)
	if err != nil {
		return err
	}
	srv.Put(instance.Key, data)
	return nil
}

func newStandinEngine() *cobra.Command {
	var s standin
	var models []string
	var rate int64
	t := fleet.DefaultTiming()
	c := &cobra.Command{
		Use:   "engine",
		Short: "Run a model engine",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			l := ledger.New()
			e := engine.New(engine.Options{
				Name: s.name, Slots: s.slots, FirstToken: t.FirstToken, PromptToken: t.PromptToken, TokenInterval: t.TokenInterval, BatchOverhead: t.BatchOverhead,
				ReportLag: t.ReportLag, Cache: cache.Options{Blocks: t.CacheBlocks, EventLag: t.ReportLag, LoseEvery: t.LoseEvery},
				Models: models, Weights: weightstore.New(max(1, rate)),
			}, l)
			return s.serve(c.Context(), faultinject.New().Wrap(s.name, e), l)
		},
	}
	s.flags(c, "llm-01", 16)
	c.Flags().StringSliceVar(&models, "models", nil, "models that are loaded; none for any")
	c.Flags().Int64Var(&rate, "store", 200_000_000, "bytes a second that the weight store gives")
	c.Flags().DurationVar(&t.TokenInterval, "token", t.TokenInterval, "time between tokens")
	return c
}

func newStandinPool() *cobra.Command {
	var s standin
	t := fleet.DefaultTiming()
	c := &cobra.Command{
		Use:   "pool",
		Short: "Run a worker of an encoder, retriever or reranker pool",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			l := ledger.New()
			p := pool.New(pool.Options{Name: s.name, Slots: s.slots, ServiceTime: t.Pool, ReportLag: t.ReportLag}, l)
			return s.serve(c.Context(), faultinject.New().Wrap(s.name, p), l)
		},
	}
	s.flags(c, "encode-1", 32)
	c.Flags().DurationVar(&t.Pool, "time", t.Pool, "service time of a call")
	return c
}

func newStandinService() *cobra.Command {
	var s standin
	var keyed bool
	t := fleet.DefaultTiming()
	c := &cobra.Command{
		Use:   "service",
		Short: "Run a worker of a plain service",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			l := ledger.New()
			w := service.New(service.Options{
				Name: s.name, Slots: s.slots, ServiceTime: t.Service, ReportLag: t.ReportLag, Deduplicate: keyed,
			}, l, service.NewResponseCache())
			return s.serve(c.Context(), faultinject.New().Wrap(s.name, w), l)
		},
	}
	s.flags(c, "bookings-1", 64)
	c.Flags().BoolVar(&keyed, "keyed", false, "remember idempotency keys")
	c.Flags().DurationVar(&t.Service, "time", t.Service, "service time of a call")
	return c
}
