// Package swarm starts many instances' table distribution, without the rest of
// the daemon, in one process: real meshes over loopback before one platform.
package swarm

// This file defines Swarm, its nodes and its gates.

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/jacinthstile/jacinthstile/internal/peer/identity"
	"github.com/jacinthstile/jacinthstile/internal/peer/membership"
	"github.com/jacinthstile/jacinthstile/internal/peer/mesh"
	"github.com/jacinthstile/jacinthstile/internal/peer/roster"
	"github.com/jacinthstile/jacinthstile/internal/platform/instance"
	"github.com/jacinthstile/jacinthstile/internal/platform/reader"
	"github.com/jacinthstile/jacinthstile/internal/standin/platform"
	"github.com/jacinthstile/jacinthstile/internal/table/feed"
	"github.com/jacinthstile/jacinthstile/internal/table/holder"
	"github.com/jacinthstile/jacinthstile/internal/table/manifest"
	"github.com/jacinthstile/jacinthstile/internal/table/sheet"
)

const (
	loopback  = "127.0.0.1:0"
	startWait = 3 * time.Second
	centres   = 10
	pollEvery = 5 * time.Millisecond
)

// Swarm is a number of nodes before one platform.
type Swarm struct {
	Platform *platform.Platform
	Nodes    []*Node

	log     logr.Logger
	base    string // URL of the platform
	ctx     context.Context
	closers []func()
}

// Node is one instance's part in table distribution.
type Node struct {
	Name    string
	Gate    *Gate
	Mesh    *mesh.Mesh
	Members *membership.Membership
	Tables  *holder.Holder
	Feed    *feed.Feed
	Reader  *reader.Reader

	listener net.Listener
}

// New starts a platform without keys and no nodes. The returned function ends everything.
func New(ctx context.Context, log logr.Logger) (*Swarm, func(), error) {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, nil, fmt.Errorf("starting platform: %w", err)
	}
	ctx, cancel := context.WithCancel(ctx)
	s := &Swarm{Platform: platform.New(), log: log, ctx: ctx, base: "http://" + l.Addr().String()}
	server := &http.Server{Handler: s.Platform}
	go server.Serve(l)
	return s, func() {
		cancel()
		for i := len(s.closers) - 1; i >= 0; i-- {
			s.closers[i]()
		}
		server.Close()
	}, nil
}

// Publish puts a table on the platform, the manifest last.
func (s *Swarm) Publish(table *sheet.Sheet) error {
	m, objects, err := manifest.Pack(table)
	if err != nil {
		return err
	}
	for digest, data := range objects {
		s.Platform.Put(manifest.PartPrefix+digest, data)
	}
	data, err := json.Marshal(m)
	if err != nil {
		return err
	}
	s.Platform.Put(manifest.Key, data)
	return nil
}

// Add starts n more nodes, and lists all of them first.
func (s *Swarm) Add(n int) error {
	first := len(s.Nodes)
	for i := range n {
		node, err := s.open(first + i)
		if err != nil {
			return err
		}
		s.Nodes = append(s.Nodes, node)
	}
	s.List()
	for _, node := range s.Nodes[first:] {
		s.run(node)
	}
	return nil
}

// List publishes the list of all nodes.
func (s *Swarm) List() {
	var list instance.List
	for _, n := range s.Nodes {
		list.Instances = append(list.Instances, instance.Instance{
			Name: n.Name, Address: n.listener.Addr().String(), Centre: n.Mesh.Self().Centre, State: instance.Live, Entry: true,
		})
	}
	data, err := json.Marshal(list)
	if err != nil {
		panic(fmt.Sprintf("swarm: encoding instances: %v", err))
	}
	s.Platform.Put(instance.Key, data)
}

func (s *Swarm) open(i int) (*Node, error) {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, fmt.Errorf("starting node: %w", err)
	}
	self := identity.Identity{
		Name:        fmt.Sprintf("entry-%03d", i),
		Centre:      fmt.Sprintf("centre-%02d", i%centres),
		Incarnation: uint64(time.Now().UnixNano()),
		Seat:        -1,
	}
	source, closeReader := reader.New(s.base)
	m, closeMesh := mesh.New(self, nil, s.log)
	n := &Node{
		Name: self.Name, Gate: newGate(source), Mesh: m, Members: membership.New(self.Name),
		Tables: holder.New(), Reader: source, listener: l,
	}
	n.Feed = feed.New(n.Gate, m, n.Members, n.Tables, startWait, s.log.WithValues("instance", self.Name))
	m.Observe(n.Members)
	s.closers = append(s.closers, func() {
		l.Close()
		closeMesh()
		closeReader()
	})
	return n, nil
}

func (s *Swarm) run(n *Node) {
	r := roster.New(n.Gate, s.log)
	r.Watch(n.Members.Update)
	var all sync.WaitGroup
	all.Go(func() { r.Run(s.ctx) })
	all.Go(func() { n.Feed.Run(s.ctx) })
	all.Go(func() { n.Mesh.Serve(s.ctx, n.listener) })
	s.closers = append(s.closers, func() {
		n.listener.Close()
		all.Wait()
	})
}

// Await returns how long it takes until every node has a table at version or
// later in force, or an error after the timeout.
func (s *Swarm) Await(version uint64, timeout time.Duration) (time.Duration, error) {
	start := time.Now()
	for _, n := range s.Nodes {
		for {
			if _, v := n.Tables.Pair(); v >= version {
				break
			}
			if time.Since(start) > timeout {
				_, v := n.Tables.Pair()
				return 0, fmt.Errorf("awaiting version %d: got %d on %s after %s", version, v, n.Name, timeout)
			}
			time.Sleep(pollEvery)
		}
	}
	return time.Since(start), nil
}

// Gate stands between a node and the platform, and can be closed.
type Gate struct {
	source reader.Source

	mu     sync.Mutex
	closed bool
	change chan struct{} // closed and replaced when the gate opens or closes
}

var _ reader.Source = (*Gate)(nil)

var errClosed = errors.New("the platform is down for this instance")

func newGate(source reader.Source) *Gate { return &Gate{source: source, change: make(chan struct{})} }

// Set opens or closes the gate. Closing it ends the calls that wait.
func (g *Gate) Set(open bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = !open
	close(g.change)
	g.change = make(chan struct{})
}

// pass returns a context that ends when the gate closes.
func (g *Gate) pass(ctx context.Context) (context.Context, context.CancelFunc, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return nil, nil, errClosed
	}
	ctx, cancel := context.WithCancel(ctx)
	change := g.change
	go func() {
		select {
		case <-change:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel, nil
}

// Read passes a read on while the gate is open.
func (g *Gate) Read(ctx context.Context, key string) (reader.Value, error) {
	ctx, cancel, err := g.pass(ctx)
	if err != nil {
		return reader.Value{}, err
	}
	defer cancel()
	return g.source.Read(ctx, key)
}

// Watch passes a watch on while the gate is open.
func (g *Gate) Watch(ctx context.Context, key string, version uint64, wait time.Duration) (reader.Value, bool, error) {
	ctx, cancel, err := g.pass(ctx)
	if err != nil {
		return reader.Value{}, false, err
	}
	defer cancel()
	return g.source.Watch(ctx, key, version, wait)
}
