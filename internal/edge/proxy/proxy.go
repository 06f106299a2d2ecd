// Package proxy forwards callers' requests to endpoints and relays the
// responses.
//
// A failed request is retried on another endpoint if it certainly did not run,
// or if its route allows running it more than once; a retry budget limits the
// load that retries add. Streams are relayed event by event, and resumed on
// another endpoint where the route allows it.
package proxy

// This file defines Proxy and what it asks of others to prepare a request.

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/go-logr/logr"

	"github.com/jacinthstile/jacinthstile/internal/admission/quarantine"
	"github.com/jacinthstile/jacinthstile/internal/admission/retrylimit"
	"github.com/jacinthstile/jacinthstile/internal/edge/answer"
	"github.com/jacinthstile/jacinthstile/internal/edge/connpool"
	"github.com/jacinthstile/jacinthstile/internal/edge/freshness"
	"github.com/jacinthstile/jacinthstile/internal/edge/notice"
	"github.com/jacinthstile/jacinthstile/internal/edge/origin"
	"github.com/jacinthstile/jacinthstile/internal/edge/protocol"
	"github.com/jacinthstile/jacinthstile/internal/edge/registry"
	"github.com/jacinthstile/jacinthstile/internal/edge/request"
	"github.com/jacinthstile/jacinthstile/internal/edge/sequence"
	"github.com/jacinthstile/jacinthstile/internal/edge/shutdown"
	"github.com/jacinthstile/jacinthstile/internal/edge/versionset"
	"github.com/jacinthstile/jacinthstile/internal/flow/dispatcher"
	"github.com/jacinthstile/jacinthstile/internal/routing/ratelimit"
	"github.com/jacinthstile/jacinthstile/internal/table/holder"
)

const (
	minTimeLeft       = 20 * time.Millisecond  // with less time before the deadline, no endpoint can respond in time
	maxSends          = 4                      // of one request, including sends that endpoints refuse
	defaultRetryAfter = 300 * time.Millisecond // used when the dispatcher gives no estimate
	maxResponseBytes  = 8 << 20                // limit of a response that is not a stream
	maxDiscardedBytes = 64 << 10               // of a body that is read only to reuse its connection
	maxBlocks         = 1 << 14                // of a prompt; 4 million tokens
	tokensPerBlock    = 256                    // prompt tokens for each block in the index of prefix caches
)

// Preparer prepares a stream request before it is sent: it has the request's
// stages run and chooses an endpoint.
type Preparer interface {
	// Prepare returns the inputs of a request and the endpoint to run it on. It
	// is called again when the inputs are lost or released before the request has
	// finished. The error is a *fault.Fault of class "not run", or the context's
	// error.
	Prepare(ctx context.Context, r PrepareParams) (Prepared, error)
	// Permit takes a request from the limit of an endpoint that limits the requests of all
	// instances, and returns the name of the endpoint. The error is a *fault.Fault of class
	// "not run", or the context's error.
	Permit(ctx context.Context, r PermitParams) (string, error)
	// RecordBegun records which software began a stream, by the key of package origin. An
	// origin without a version says that it is in doubt.
	RecordBegun(stream uint64, o origin.Origin)
	// Origin returns which software began a stream, as it was recorded, and false if no
	// instance that can be asked knows the stream.
	Origin(ctx context.Context, stream uint64) (origin.Origin, bool)
	// RecordLoss records that an endpoint lost a request.
	RecordLoss(requestID string, l quarantine.Loss)
	// RecordClearance records that an endpoint answered which was said to have crashed, or
	// that a request was answered completely under equal ones of which endpoints crashed.
	RecordClearance(c quarantine.Clearance)
}

// PrepareParams holds the parameters of Prepare.
type PrepareParams struct {
	Request *request.Request
	Round   int      // number of earlier preparations of the same request
	Tried   []string // names of endpoints that failed or refused the request
	Version string   // of its software that the endpoint must have; empty for any
}

// PermitParams holds the parameters of Permit.
type PermitParams struct {
	Request   *request.Request
	Endpoints []string  // names of the endpoints that may take the request
	Latest    time.Time // latest time at which sending the request is still useful; zero if it does not wait
}

// Prepared is the result of Prepare.
type Prepared struct {
	Inputs            []string // handles of stage results
	PreferredEndpoint string   // name of the endpoint to run on; empty for any
	Permitted         bool     // the request was taken from the limit that this endpoint has for all instances
	Trial             bool     // the request is held back, and sent once to find out whether that is still needed
	// Started is called at the first event of the response, when the endpoint
	// has read the inputs and they can be released.
	Started func()
	// Ended is called when the preparation is no longer used: the request has
	// finished or failed, or was prepared again.
	Ended func()
}

// Proxy forwards requests to endpoints. It is safe for concurrent use.
type Proxy struct {
	codec       protocol.Codec
	index       func() *registry.Index
	tables      *holder.Holder
	dispatcher  *dispatcher.Dispatcher
	pool        *connpool.Pool
	retryBudget *retrylimit.Limiter
	preparer    Preparer
	quarantine  *quarantine.Quarantine
	limits      *ratelimit.Tracker
	notices     *notice.Recorder
	versions    *versionset.Tracker
	freshness   *freshness.Tracker
	paths       Paths
	shutdown    *shutdown.Shutdown
	log         logr.Logger
}

// New returns a proxy. index returns the endpoints known at the moment; budget
// limits retries; q knows which prompts are held back; limits knows which endpoints limit the
// requests of all instances; notices receives what endpoints say of themselves; versions knows
// which versions of their software services run, and fresh when the endpoints were last confirmed to be
// current; paths knows which services this instance can reach; stop ends requests that this instance cannot
// serve before it stops.
func New(codec protocol.Codec, index func() *registry.Index, tables *holder.Holder, d *dispatcher.Dispatcher,
	pool *connpool.Pool, budget *retrylimit.Limiter, preparer Preparer, q *quarantine.Quarantine, limits *ratelimit.Tracker,
	notices *notice.Recorder, versions *versionset.Tracker, fresh *freshness.Tracker, paths Paths, stop *shutdown.Shutdown, log logr.Logger,
) *Proxy {
	return &Proxy{
		codec: codec, index: index, tables: tables, dispatcher: d, pool: pool, retryBudget: budget, preparer: preparer,
		quarantine: q, limits: limits, notices: notices, versions: versions, freshness: fresh, paths: paths, shutdown: stop, log: log,
	}
}

// Serve forwards a request and writes the response to w. If it fails before
// anything was written, the error is a *fault.Fault, or the context's error if
// the caller disconnected. If it fails later, the error is ErrStreamBroken.
func (p *Proxy) Serve(ctx context.Context, req *request.Request, w http.ResponseWriter) error {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	x := &exchange{
		Proxy: p, request: req, answer: answer.New(w, p.codec.StripInternal), sequence: sequence.New(req.LastEventID),
		blocks: promptBlocks(req.Prompt), possibleRuns: req.Runs, mayHaveRun: req.Runs > 0, recorded: req.Recorded,
	}
	ctx, release := x.limit(ctx)
	defer release()
	err := x.run(ctx)
	if err == nil {
		return nil
	}
	if x.answer.Begun() {
		x.log.Info("stream broke", "request", req.ID, "events", x.sequence.Events(), "reason", err.Error())
		return ErrStreamBroken
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return x.deadlineFault()
	}
	if x.isStopped() {
		return x.faultOf(stopFault(err))
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return x.faultOf(err)
}

// ErrStreamBroken means that a stream failed after its headers were written and could
// not be resumed. The caller's connection must be closed abruptly, so that the
// truncated stream does not look complete.
var ErrStreamBroken = errors.New("response stream failed and could not be resumed")
