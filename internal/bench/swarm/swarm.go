// Package swarm starts many instances' table distribution, without the rest of
// the daemon, in one process: real transports over loopback before one platform.
package swarm

// This file defines Swarm and its nodes.

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/jacinthstile/jacinthstile/internal/peer/identity"
	"github.com/jacinthstile/jacinthstile/internal/peer/instancelist"
	"github.com/jacinthstile/jacinthstile/internal/peer/membership"
	"github.com/jacinthstile/jacinthstile/internal/peer/transport"
	"github.com/jacinthstile/jacinthstile/internal/platform/instance"
	"github.com/jacinthstile/jacinthstile/internal/standin/configserver"
	"github.com/jacinthstile/jacinthstile/internal/table/fleettable"
	"github.com/jacinthstile/jacinthstile/internal/table/holder"
	"github.com/jacinthstile/jacinthstile/internal/table/syncer"
)

const (
	loopback  = "127.0.0.1:0"
	startWait = 3 * time.Second
	centres   = 10
	pollEvery = 5 * time.Millisecond
)

// Swarm is a number of nodes before one platform.
type Swarm struct {
	Platform *configserver.Server
	Nodes    []*Node

	log     logr.Logger
	ctx     context.Context
	closers []func()
}

// Node is one instance's part in table distribution.
type Node struct {
	Name      string
	Gate      *Gate
	Transport *transport.Transport
	Members   *membership.Membership
	Tables    *holder.Holder
	Feed      *syncer.Syncer

	listener net.Listener
}

// New returns a swarm without nodes before a platform without keys. The returned
// function ends everything.
func New(ctx context.Context, log logr.Logger) (*Swarm, func()) {
	ctx, cancel := context.WithCancel(ctx)
	s := &Swarm{Platform: configserver.New(), log: log, ctx: ctx}
	return s, func() {
		cancel()
		for i := len(s.closers) - 1; i >= 0; i-- {
			s.closers[i]()
		}
	}
}

// Publish puts a table on the platform, the manifest last.
func (s *Swarm) Publish(table *fleettable.Table) error {
	return s.Platform.Publish(table)
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
			Name: n.Name, Address: n.listener.Addr().String(), Centre: n.Transport.Self().Centre, State: instance.Live, Entry: true,
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
	m, closeTransport := transport.New(self, nil, s.log)
	n := &Node{
		Name: self.Name, Gate: newGate(direct{s.Platform}), Transport: m, Members: membership.New(self.Name),
		Tables: holder.New(), listener: l,
	}
	n.Feed = syncer.New(n.Gate, m, n.Members, n.Tables, startWait, s.log.WithValues("instance", self.Name))
	m.SetObserver(n.Members)
	s.closers = append(s.closers, func() {
		l.Close()
		closeTransport()
	})
	return n, nil
}

func (s *Swarm) run(n *Node) {
	r := instancelist.New(n.Gate, s.log)
	r.OnChange(n.Members.Update)
	var all sync.WaitGroup
	all.Go(func() { r.Run(s.ctx) })
	all.Go(func() { n.Feed.Run(s.ctx) })
	all.Go(func() { n.Transport.Serve(s.ctx, n.listener) })
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
			if _, v := n.Tables.Version(); v >= version {
				break
			}
			if time.Since(start) > timeout {
				_, v := n.Tables.Version()
				return 0, fmt.Errorf("awaiting version %d: got %d on %s after %s", version, v, n.Name, timeout)
			}
			time.Sleep(pollEvery)
		}
	}
	return time.Since(start), nil
}
