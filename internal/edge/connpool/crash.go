package connpool

// This file finds out whether an endpoint that lost a request has crashed.

import (
	"context"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/endpoint/failure"
)

// crashCheckTimeout is how long the check waits for a connection. An endpoint that does not
// answer by then is taken to have crashed: the caller waits for the check.
const crashCheckTimeout = 150 * time.Millisecond

// CheckCrash returns err, or a failure of kind Crashed if err is of kind Lost and the endpoint
// takes no new connection. An endpoint that does has only lost the request.
func (p *Pool) CheckCrash(ctx context.Context, name, address string, err error) error {
	if err == nil || failure.KindOf(err) != failure.Lost || ctx.Err() != nil {
		return err
	}
	dialCtx, cancel := context.WithTimeout(ctx, crashCheckTimeout)
	defer cancel()
	dialErr := p.Probe(dialCtx, name, address)
	if ctx.Err() != nil || dialErr == nil {
		return err
	}
	return failure.New(failure.Crashed, err, "%s takes no connection: %v", address, dialErr)
}
