package runner

// This file gives a failed stage its numbered code.

import (
	"context"
	"errors"

	"github.com/jacinthstile/jacinthstile/internal/endpoint/failure"
	"github.com/jacinthstile/jacinthstile/internal/flow/dispatcher"
	"github.com/jacinthstile/jacinthstile/internal/result/code"
	"github.com/jacinthstile/jacinthstile/internal/result/fault"
)

// state is what is known of a job when a stage of it has failed.
type state struct {
	stage    string
	sent     bool // an attempt of the stage may have run
	earlier  bool // earlier stages have run
	streamed bool // the stage has given tokens
}

func faultOf(ctx context.Context, st state, last error) error {
	f := fault.Wrap(codeOf(ctx, st, last), last, "in stage %s", st.stage)
	var refusal *dispatcher.Refusal
	if errors.As(last, &refusal) {
		f.After = refusal.After
	}
	return f
}

func codeOf(ctx context.Context, st state, last error) code.Code {
	late := ctx.Err() != nil || failure.KindOf(last) == failure.Late
	switch {
	case !st.sent && !st.earlier:
		return unsentCode(ctx, last)
	case late && st.earlier:
		return code.OutOfTime
	case late:
		return code.DeadlineOver
	case st.streamed:
		return code.StreamBroken
	case st.earlier:
		return code.StageFailed
	}
	return sentCode(last)
}

// unsentCode returns the code of a job of which nothing ran.
func unsentCode(ctx context.Context, last error) code.Code {
	var refusal *dispatcher.Refusal
	switch {
	case ctx.Err() != nil:
		return code.NoTime
	case errors.As(last, &refusal) && refusal.Busy:
		return code.Overloaded
	case failure.KindOf(last) == failure.Refused:
		return code.EndpointRefused
	default:
		return code.NoEndpoint
	}
}

// sentCode returns the code of a job whose first stage was sent and failed.
func sentCode(last error) code.Code {
	switch failure.KindOf(last) {
	case failure.Errored:
		return code.StageFailed
	case failure.Foreign:
		return code.AnswerBad
	default:
		return code.AnswerLost
	}
}
