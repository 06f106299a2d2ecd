// Package synccluster runs the table synchronisation of many instances, without the rest of the daemon, in one process.
// The instances talk to each other over TCP on loopback and share one stand-in platform.
package synccluster

// This file defines Cluster and its nodes.

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
	listenAddress = "127.0.0.1:0"
	readyTimeout  = 3 * time.Second // a starting node waits no longer for the list of instances and the newest table
	centres       = 10              // data centres over which the nodes are distributed
	pollInterval  = 5 * time.Millisecond
)

// Cluster is a number of nodes with one platform. Its methods must not be called concurrently.
type Cluster struct {
	Platform *configserver.Server
	Nodes    []*Node

	log     logr.Logger
	ctx     context.Context
	closers []func() // called in reverse order
}

// Node is the part of an instance that keeps its table current.
type Node struct {
	Name      string
	Source    *PlatformSource
	Transport *transport.Transport
	Members   *membership.Membership
	Tables    *holder.Holder
	Syncer    *syncer.Syncer

	listener net.Listener
}

// New returns a cluster without nodes and with an empty platform. The returned function stops all nodes and waits for
// their goroutines.
func New(ctx context.Context, log logr.Logger) (*Cluster, func()) {
	ctx, cancel := context.WithCancel(ctx)
	c := &Cluster{Platform: configserver.New(), log: log, ctx: ctx}
	return c, func() {
		cancel()
		for i := len(c.closers) - 1; i >= 0; i-- {
			c.closers[i]()
		}
	}
}

// Publish publishes a table on the platform, the manifest last, so that the objects that it refers to exist before it.
func (c *Cluster) Publish(table *fleettable.Table) error {
	return c.Platform.Publish(table)
}

// Add starts n more nodes. It publishes the list of all nodes before the new ones start.
func (c *Cluster) Add(n int) error {
	first := len(c.Nodes)
	for i := range n {
		node, err := c.newNode(first + i)
		if err != nil {
			return err
		}
		c.Nodes = append(c.Nodes, node)
	}
	c.PublishInstances()
	for _, node := range c.Nodes[first:] {
		c.startNode(node)
	}
	return nil
}

// PublishInstances publishes the list of all nodes on the platform.
func (c *Cluster) PublishInstances() {
	var list instance.List
	for _, n := range c.Nodes {
		list.Instances = append(list.Instances, instance.Instance{
			Name: n.Name, Address: n.listener.Addr().String(), Centre: n.Transport.Self().Centre, State: instance.Live, Entry: true,
		})
	}
	data, err := json.Marshal(list)
	if err != nil {
		panic(fmt.Sprintf("synccluster: encoding instances: %v", err))
	}
	c.Platform.Put(instance.Key, data)
}

// newNode creates node i and its listener; startNode starts it.
func (c *Cluster) newNode(i int) (*Node, error) {
	l, err := net.Listen("tcp", listenAddress)
	if err != nil {
		return nil, fmt.Errorf("starting node: %w", err)
	}
	self := identity.Identity{
		Name:        fmt.Sprintf("entry-%03d", i),
		Centre:      fmt.Sprintf("centre-%02d", i%centres),
		Incarnation: uint64(time.Now().UnixNano()),
		Seat:        -1,
	}
	t, closeTransport := transport.New(self, nil, c.log)
	n := &Node{
		Name: self.Name, Source: newPlatformSource(directSource{c.Platform}), Transport: t, Members: membership.New(self.Name),
		Tables: holder.New(), listener: l,
	}
	n.Syncer = syncer.New(n.Source, t, n.Members, n.Tables, readyTimeout, c.log.WithValues("instance", self.Name))
	t.SetObserver(n.Members)
	c.closers = append(c.closers, func() {
		l.Close()
		closeTransport()
	})
	return n, nil
}

// startNode starts the goroutines of a node.
func (c *Cluster) startNode(n *Node) {
	watcher := instancelist.New(n.Source, c.log)
	watcher.OnChange(n.Members.Update)
	var all sync.WaitGroup
	all.Go(func() { watcher.Run(c.ctx) })
	all.Go(func() { n.Syncer.Run(c.ctx) })
	all.Go(func() { n.Transport.Serve(c.ctx, n.listener) })
	c.closers = append(c.closers, func() {
		n.listener.Close()
		all.Wait()
	})
}

// WaitForVersion waits until every node has the table of the version, or a later one, in force, and returns how long
// that took. It returns an error after the timeout.
func (c *Cluster) WaitForVersion(version uint64, timeout time.Duration) (time.Duration, error) {
	start := time.Now()
	for _, n := range c.Nodes {
		for {
			if _, v := n.Tables.Version(); v >= version {
				break
			}
			if time.Since(start) > timeout {
				_, v := n.Tables.Version()
				return 0, fmt.Errorf("awaiting version %d: got %d on %s after %s", version, v, n.Name, timeout)
			}
			time.Sleep(pollInterval)
		}
	}
	return time.Since(start), nil
}
