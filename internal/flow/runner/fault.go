package runner

// This file determines the error code of a failed stage.

import (
	"context"
	"errors"

	"github.com/jacinthstile/jacinthstile/internal/endpoint/failure"
	"github.com/jacinthstile/jacinthstile/internal/flow/dispatcher"
	"github.com/jacinthstile/jacinthstile/internal/result/code"
	"github.com/jacinthstile/jacinthstile/internal/result/fault"
)

// failureState describes how far a job had got when one of its stages failed.
type failureState struct {
	stage      string
	ran        bool // an attempt of the stage may have run
	earlierRan bool // the stage is not the first one, so earlier stages have run
	streamed   bool // at least one token of the stage has been received
}

// faultOf returns the fault of a failed stage. lastErr is the error of its last attempt.
func faultOf(ctx context.Context, st failureState, lastErr error) error {
	f := fault.Wrap(codeOf(ctx, st, lastErr), lastErr, "in stage %s", st.stage)
	var refusal *dispatcher.Refusal
	if errors.As(lastErr, &refusal) {
		f.RetryAfter = refusal.RetryAfter
	}
	return f
}

func codeOf(ctx context.Context, st failureState, lastErr error) code.Code {
	timedOut := ctx.Err() != nil || failure.KindOf(lastErr) == failure.Late
	switch {
	case !st.ran && !st.earlierRan:
		return notRunCode(ctx, lastErr)
	case timedOut && st.earlierRan:
		return code.OutOfTime
	case timedOut:
		return code.DeadlineOver
	case st.streamed:
		return code.StreamBroken
	case st.earlierRan:
		return code.StageFailed
	}
	return ranCode(lastErr)
}

// notRunCode returns the code of a job if nothing of it has run.
func notRunCode(ctx context.Context, lastErr error) code.Code {
	var refusal *dispatcher.Refusal
	switch {
	case ctx.Err() != nil:
		return code.NoTime
	case errors.As(lastErr, &refusal) && refusal.Busy:
		return code.Overloaded
	case failure.KindOf(lastErr) == failure.Refused:
		return code.EndpointRefused
	default:
		return code.NoEndpoint
	}
}

// ranCode returns the code of a job whose first stage may have run and failed before its
// deadline and without a token.
func ranCode(lastErr error) code.Code {
	switch failure.KindOf(lastErr) {
	case failure.Errored:
		return code.StageFailed
	case failure.Foreign:
		return code.AnswerBad
	default:
		return code.AnswerLost
	}
}
